package registry

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/peer"
	"github.com/topazrock/topazrock/internal/platform"
)

const (
	// methodAlive asks an instance whether it is the one that is meant.
	methodAlive = "registry.alive"
	// watched is how many instances each one watches: two, so that the loss of a
	// watcher leaves another one.
	watched = 2
	// sweepInterval is the time between two questions to a watched instance, and
	// aliveTimeout bounds its answer, many times a slow one.
	sweepInterval = 2 * time.Second
	aliveTimeout  = 500 * time.Millisecond
)

// alive is the question and the answer: who is meant, and who is there.
type alive struct {
	Instance string `json:"instance"`
}

// Register answers the question of other instances whether this one is there.
func (r *Registry) Register(s peer.Registry) {
	s.Handle(methodAlive, func(context.Context, string, json.RawMessage) (any, error) {
		return alive{Instance: r.Self.ID}, nil
	})
}

// sweeper removes the entries of instances that died without taking them back, as
// those of a machine that is removed for good. Left there, they count when homes are
// chosen and connections are divided: with one dead of eight, three eighths of a
// failure domain's requests went to a home that was not there.
type sweeper struct {
	*Registry
	silent silences
}

func newSweeper(r *Registry) *sweeper {
	return &sweeper{Registry: r}
}

func (s *sweeper) run(ctx context.Context) {
	for clock.Sleep(ctx, s.Clock, sweepInterval) == nil {
		s.sweep(ctx)
	}
}

// sweep asks the watched instances once.
func (s *sweeper) sweep(ctx context.Context) {
	others := ring(s.listed(), s.Self.ID)
	mine := others[:min(watched, len(others))]
	unanswered := make(map[platform.Instance]time.Time)
	for _, i := range mine {
		asked := s.Clock.Now()
		if !s.answers(ctx, i) {
			unanswered[i] = asked
		}
	}
	s.silent = s.silent.after(unanswered)
	for _, i := range s.silent.gone(s.Clock.Now()) {
		if s.reachesAny(ctx, others[len(mine):]) {
			s.remove(ctx, i)
		}
	}
}

// answers reports whether an instance is there.
func (r *Registry) answers(ctx context.Context, i platform.Instance) bool {
	ctx, cancel := context.WithTimeout(ctx, aliveTimeout)
	defer cancel()
	var a alive
	err := r.Peers.Call(ctx, i.PeerAddress, methodAlive, alive{Instance: i.ID}, &a)
	return err == nil && a.Instance == i.ID
}

// reachesAny reports whether any of some instances answers. An instance that reaches
// none may be the one that is cut off, and then knows nothing of the others.
func (r *Registry) reachesAny(ctx context.Context, instances []platform.Instance) bool {
	for _, i := range instances {
		if r.answers(ctx, i) {
			return true
		}
	}
	return false
}

// remove takes the entry of an instance away, unless it was written anew.
func (s *sweeper) remove(ctx context.Context, i platform.Instance) {
	err := s.removeEntry(ctx, i)
	if err != nil {
		s.Log.Info("Entry of a silent instance was not removed.", "instance", i.ID, "error", err)
		return
	}
	s.Log.Warn("Entry of a silent instance was removed.", "instance", i.ID, "address", i.PeerAddress, "silent", s.Clock.Now().Sub(s.silent[i]).String())
}

func (s *sweeper) removeEntry(ctx context.Context, i platform.Instance) error {
	held, err := s.API.Get(ctx, platform.KindInstances, i.ID)
	if errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	var now platform.Instance
	if err := json.Unmarshal(held.Value, &now); err != nil {
		return err
	}
	if now != i {
		return nil
	}
	return s.API.Delete(ctx, platform.KindInstances, i.ID, held.Version)
}
