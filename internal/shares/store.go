package shares

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/platform"
)

// Pauses between calls to the platform.
const (
	conflictPause = 5 * time.Millisecond
	settlePause   = 100 * time.Millisecond
	maxConflicts  = 10
)

// errContended says that other writers were first each time.
var errContended = errors.New("shares: the ledger changes too often")

// unsettled is a change whose answer was lost.
type unsettled struct {
	id      string
	value   []byte
	version int64
}

// store reads and changes one group's ledger. It is used by one goroutine.
type store struct {
	api   platform.API
	group string
	clock clock.Clock
	rand  *rand.Rand
	// prefix and changes make IDs that no other process uses.
	prefix  string
	changes int
	// pending is the change that must be settled before anything else: until a
	// later version is seen, its update may still take effect.
	pending *unsettled
}

// read returns the ledger and its version; version 0 when there is none.
func (s *store) read(ctx context.Context) (Ledger, int64, error) {
	if _, err := s.settle(ctx); err != nil {
		return Ledger{}, 0, err
	}
	return s.get(ctx)
}

func (s *store) get(ctx context.Context) (Ledger, int64, error) {
	object, err := s.api.Get(ctx, platform.KindShares, s.group)
	if errors.Is(err, platform.ErrNotFound) {
		return Ledger{}, 0, nil
	}
	if err != nil {
		return Ledger{}, 0, err
	}
	var l Ledger
	if err := json.Unmarshal(object.Value, &l); err != nil {
		return Ledger{}, 0, err
	}
	return l, object.Version, nil
}

// update changes the ledger. change edits a copy and returns false when there
// is nothing to do; it may run more than once. update returns the newest ledger
// it knows and whether the change was stored.
func (s *store) update(ctx context.Context, change func(*Ledger) bool) (Ledger, bool, error) {
	for range maxConflicts {
		before, version, err := s.read(ctx)
		if err != nil {
			return Ledger{}, false, err
		}
		after := before.clone()
		if !change(&after) {
			return before, false, nil
		}
		if err := checkStep(&before, &after); err != nil {
			return Ledger{}, false, err
		}
		stored, err := s.put(ctx, &after, version)
		if stored {
			return after, true, nil
		}
		if err != nil {
			return Ledger{}, false, err
		}
		if err := s.pause(ctx, conflictPause); err != nil {
			return Ledger{}, false, err
		}
	}
	return Ledger{}, false, errContended
}

// newID returns an ID that was not used before.
func (s *store) newID() string {
	s.changes++
	return s.prefix + "-" + strconv.Itoa(s.changes)
}

// put stores a changed ledger. Neither stored nor an error means that another
// writer came first.
func (s *store) put(ctx context.Context, l *Ledger, version int64) (bool, error) {
	id := s.newID()
	l.record(id)
	value, err := json.Marshal(l)
	if err != nil {
		return false, err
	}
	_, err = s.api.Put(ctx, platform.KindShares, s.group, value, version)
	switch {
	case err == nil:
		return true, nil
	case errors.Is(err, platform.ErrConflict):
		return false, nil
	case errors.Is(err, platform.ErrUnavailable):
		return false, err
	}
	s.pending = &unsettled{id: id, value: value, version: version}
	return s.settle(ctx)
}

// settle ends the doubt about a change whose answer was lost, and reports
// whether it was stored. Reading the old version again proves nothing, because
// the update may be on its way still and take effect later: a lender that took
// its share back then would find it given to the borrower as well. Any later
// version proves it, since the update was conditional on the old one; so the
// same update is sent until one is there.
func (s *store) settle(ctx context.Context) (bool, error) {
	for s.pending != nil {
		l, version, err := s.get(ctx)
		if err == nil && version > s.pending.version {
			stored := slices.Contains(l.Changes, s.pending.id)
			s.pending = nil
			return stored, nil
		}
		if err == nil {
			_, err = s.api.Put(ctx, platform.KindShares, s.group, s.pending.value, s.pending.version)
		}
		if err == nil {
			s.pending = nil
			return true, nil
		}
		if err := s.pause(ctx, settlePause); err != nil {
			return false, err
		}
	}
	return false, nil
}

// pause waits between a half and the whole of d.
func (s *store) pause(ctx context.Context, d time.Duration) error {
	return clock.Sleep(ctx, s.clock, d/2+time.Duration(s.rand.Int64N(int64(d/2)+1)))
}
