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
	// methodAlive asks the instance at an address for its ID.
	methodAlive = "registry.alive"
	// monitoredCount is how many instances each instance monitors: two, so that every instance
	// is still monitored when one of the two that monitor it is lost.
	monitoredCount = 2
	// sweepInterval is the time between two probes of a monitored instance. aliveTimeout bounds
	// one probe and is many times the duration of a slow answer.
	sweepInterval = 2 * time.Second
	aliveTimeout  = 500 * time.Millisecond
)

// aliveMessage is the request and the reply of a probe: the ID of the instance expected, and of
// the one that answers.
type aliveMessage struct {
	Instance string `json:"instance"`
}

// RegisterHandlers handles the probes and announcements of other instances.
func (r *Registry) RegisterHandlers(s peer.HandlerRegistry) {
	s.Handle(methodAlive, func(context.Context, string, json.RawMessage) (any, error) {
		return aliveMessage{Instance: r.Self.ID}, nil
	})
	if r.sharesLists() {
		s.Handle(methodAnnounce, r.serveAnnouncement)
	}
}

// sweeper removes the entries of instances that died without removing them, as when a machine
// is decommissioned. Such entries would still count when homes are chosen and connections are
// divided: with one dead instance of eight, three eighths of a failure domain's requests were
// sent to a home that did not exist.
type sweeper struct {
	*Registry
	unresponsive unresponsiveSince
}

func newSweeper(r *Registry) *sweeper {
	return &sweeper{Registry: r}
}

func (s *sweeper) run(ctx context.Context) {
	for clock.Sleep(ctx, s.Clock, sweepInterval) == nil {
		s.sweep(ctx)
	}
}

// sweep probes the monitored instances once and removes the entries of those that have been
// unresponsive for removeAfter.
func (s *sweeper) sweep(ctx context.Context) {
	others := ringSuccessors(s.knownInstances(), s.Self.ID)
	monitored := others[:min(monitoredCount, len(others))]
	unanswered := make(map[platform.Instance]time.Time)
	for _, i := range monitored {
		askedAt := s.Clock.Now()
		if !s.isAlive(ctx, i) {
			unanswered[i] = askedAt
		}
	}
	s.unresponsive = s.unresponsive.update(unanswered)
	for _, i := range s.unresponsive.expired(s.Clock.Now()) {
		if s.anyAlive(ctx, others[len(monitored):]) {
			s.removeUnresponsive(ctx, i)
		}
	}
}

// isAlive reports whether the expected instance answers at its address.
func (r *Registry) isAlive(ctx context.Context, i platform.Instance) bool {
	ctx, cancel := context.WithTimeout(ctx, aliveTimeout)
	defer cancel()
	var a aliveMessage
	err := r.Peers.Call(ctx, i.PeerAddress, methodAlive, aliveMessage{Instance: i.ID}, &a)
	return err == nil && a.Instance == i.ID
}

// anyAlive reports whether any of the instances answers. An instance that reaches none may
// itself be isolated and cannot tell whether the others are alive.
func (r *Registry) anyAlive(ctx context.Context, instances []platform.Instance) bool {
	for _, i := range instances {
		if r.isAlive(ctx, i) {
			return true
		}
	}
	return false
}

// removeUnresponsive removes the entry of an instance unless the entry has changed since, and
// logs the outcome.
func (s *sweeper) removeUnresponsive(ctx context.Context, i platform.Instance) {
	err := s.removeEntry(ctx, i)
	if err != nil {
		s.Log.Info("Removing the entry of an unresponsive instance failed.", "instance", i.ID, "error", err)
		return
	}
	s.Log.Warn("Entry of an unresponsive instance was removed.", "instance", i.ID, "address", i.PeerAddress, "silent", s.Clock.Now().Sub(s.unresponsive[i]).String())
}

func (s *sweeper) removeEntry(ctx context.Context, i platform.Instance) error {
	stored, err := s.API.Get(ctx, platform.KindInstances, i.ID)
	if errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	var current platform.Instance
	if err := json.Unmarshal(stored.Value, &current); err != nil {
		return err
	}
	if current != i {
		return nil
	}
	return s.API.Delete(ctx, platform.KindInstances, i.ID, stored.Version)
}
