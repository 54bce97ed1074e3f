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

// Delays between calls to the platform, and the number of attempts at an update that
// conflicts with those of other writers.
const (
	conflictPause     = 5 * time.Millisecond
	resolvePause      = 100 * time.Millisecond
	maxUpdateAttempts = 10
)

// errContended means that another writer came first in every attempt.
var errContended = errors.New("shares: ledger update kept conflicting with other writers")

// errEraChanged means that the platform's store returned from a copy, so that the change was not
// decided on its ledger.
var errEraChanged = errors.New("shares: the platform's store has returned from a copy")

// unconfirmedChange is a change of the ledger whose answer was lost.
type unconfirmedChange struct {
	id      string
	value   []byte
	version platform.Revision
}

// ledgerStore reads and changes the ledger of one group. It is used by one goroutine.
type ledgerStore struct {
	api   platform.API
	group string
	clock clock.Clock
	rand  *rand.Rand
	// idPrefix and idsIssued form IDs that no other process uses.
	idPrefix  string
	idsIssued int
	// era is the era of the platform's store in which this Manager reads and changes the ledger.
	era int64
	// pending is nil or a change that must be resolved before any other operation: until
	// a later version of the ledger has been read, its update may still take effect.
	pending *unconfirmedChange
}

// read returns the ledger and its version; the version is 0 if there is no ledger.
func (s *ledgerStore) read(ctx context.Context) (Ledger, platform.Revision, error) {
	if _, err := s.resolvePending(ctx); err != nil {
		return Ledger{}, 0, err
	}
	return s.get(ctx)
}

func (s *ledgerStore) get(ctx context.Context) (Ledger, platform.Revision, error) {
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

// update changes the ledger. change edits a copy and returns false if there is nothing
// to change; it may run more than once. update returns the newest ledger it has seen
// and whether the change was stored.
func (s *ledgerStore) update(ctx context.Context, change func(*Ledger) bool) (Ledger, bool, error) {
	for range maxUpdateAttempts {
		before, version, err := s.read(ctx)
		if err != nil {
			return Ledger{}, false, err
		}
		if s.era != 0 && s.era != s.api.Eras().Latest() {
			return Ledger{}, false, errEraChanged
		}
		after := before.clone()
		if !change(&after) {
			return before, false, nil
		}
		if err := validateChange(&before, &after); err != nil {
			return Ledger{}, false, err
		}
		stored, err := s.put(ctx, &after, version)
		if stored {
			return after, true, nil
		}
		if err != nil {
			return Ledger{}, false, err
		}
		if err := s.sleepJittered(ctx, conflictPause); err != nil {
			return Ledger{}, false, err
		}
	}
	return Ledger{}, false, errContended
}

// newID returns an ID that was not used before.
func (s *ledgerStore) newID() string {
	s.idsIssued++
	return s.idPrefix + "-" + strconv.Itoa(s.idsIssued)
}

// put stores a changed ledger. It returns false without an error if another writer came
// first.
func (s *ledgerStore) put(ctx context.Context, l *Ledger, version platform.Revision) (bool, error) {
	id := s.newID()
	l.recordChange(id)
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
	s.pending = &unconfirmedChange{id: id, value: value, version: version}
	return s.resolvePending(ctx)
}

// resolvePending determines the outcome of a change whose answer was lost, and reports
// whether the change was stored. Reading the old version again proves nothing: the
// update may still be on its way and take effect later, and a lender that reclaimed its
// capacity would then find it given to the borrower as well. Any later version proves
// the outcome, because the update is conditional on the old one. The same update is
// therefore sent until there is a later version.
func (s *ledgerStore) resolvePending(ctx context.Context) (bool, error) {
	for s.pending != nil {
		l, version, err := s.get(ctx)
		if err == nil && s.isPassed(version) {
			stored := slices.Contains(l.Changes, s.pending.id)
			s.pending = nil
			return stored, nil
		}
		if err == nil && version.Era() != s.pending.version.Era() {
			// Store the ledger as it stands until its number is past the lost change's, which the
			// next read shows.
			_ = s.touch(ctx, l, version)
		} else if err == nil {
			_, err = s.api.Put(ctx, platform.KindShares, s.group, s.pending.value, s.pending.version)
			if err == nil {
				s.pending = nil
				return true, nil
			}
		}
		if err := s.sleepJittered(ctx, resolvePause); err != nil {
			return false, err
		}
	}
	return false, nil
}

// isPassed reports whether a ledger of this version shows the outcome of the pending change. In a
// later era of the store the change can still take effect while the version's number is not past
// the one that it requires.
func (s *ledgerStore) isPassed(version platform.Revision) bool {
	required := s.pending.version
	return version > required && (version.Era() == required.Era() || version.Number() > required.Number())
}

// touch stores a ledger as it stands.
func (s *ledgerStore) touch(ctx context.Context, l Ledger, version platform.Revision) error {
	value, err := json.Marshal(l)
	if err != nil {
		return err
	}
	_, err = s.api.Put(ctx, platform.KindShares, s.group, value, version)
	return err
}

// sleepJittered sleeps for a random time between half of d and d.
func (s *ledgerStore) sleepJittered(ctx context.Context, d time.Duration) error {
	return clock.Sleep(ctx, s.clock, d/2+time.Duration(s.rand.Int64N(int64(d/2)+1)))
}
