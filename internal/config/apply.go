package config

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/inifile"
	"github.com/topazrock/topazrock/internal/platform"
	"github.com/topazrock/topazrock/internal/result"
)

const (
	// applyBound is how long an operator waits for a lost answer to be settled.
	applyBound = 8 * time.Second
	// applyPause is the time between two attempts to settle.
	applyPause = 200 * time.Millisecond
	// applyAttempts bounds the attempts of a change that keeps meeting other
	// updates of the object.
	applyAttempts = 64
)

// attempt is one change on its way to the platform.
type attempt struct {
	name      string
	text      string
	change    Change
	ifVersion int64
	// lost says that an update was sent on object version sentOn and its answer
	// did not come, so that it may still take effect.
	lost   bool
	sentOn int64
}

// Check parses a document as Apply would and stores nothing. Its error is a
// *result.Error that wraps inifile.Problems.
func (s *Store) Check(name, text string) error {
	service, err := parse(name, text)
	if err != nil {
		return result.New(result.DocumentInvalid, "%s", name).WithCause(err)
	}
	for _, g := range service.Groups {
		if owner, _, ok := s.FindGroup(g.Name); ok && owner.Name != name {
			return result.New(result.DocumentInvalid, "group %s belongs to service %s", g.Name, owner.Name)
		}
	}
	return nil
}

// Apply stores a document's text if its version is ifVersion (0: there is
// none), and says what became of the change. An error says that the change was
// not tried because the text or the name is not valid.
//
// A lost answer is settled by the change's ID: the document is read again, and
// while it is unchanged the same conditional update is sent once more, which
// cannot take effect twice. What is not settled when ctx or the bound ends
// goes on settling in the background.
func (s *Store) Apply(ctx context.Context, name, text string, ifVersion int64, by string) (Outcome, error) {
	if _, err := (inifile.Name{}).Parse(name); err != nil {
		return Outcome{}, result.New(result.BadAdminRequest, "document name %q", name).WithCause(err)
	}
	if err := s.Check(name, text); err != nil {
		return Outcome{}, err
	}
	if !s.peersTried() {
		// The platform may have lost versions that peers still hold.
		s.repairOnce(ctx)
	}
	a := &attempt{name: name, text: text, ifVersion: ifVersion, change: s.newChange(ifVersion+1, by)}
	bounded, cancel := context.WithTimeout(ctx, applyBound)
	defer cancel()
	outcome := s.run(bounded, a)
	outcome.ChangeID = a.change.ID
	s.metrics.applies.WithLabelValues(string(outcome.State)).Inc()
	s.log.Info("Change.", "service", name, "by", by, "outcome", outcome.State, "version", outcome.Version, "change", a.change.ID)
	return outcome, nil
}

func (s *Store) newChange(version int64, by string) Change {
	s.randMu.Lock()
	defer s.randMu.Unlock()
	id := s.options.Fleet.Self().ID + "-" + strconv.FormatUint(s.options.Rand.Uint64(), 36)
	return Change{Version: version, ID: id, By: by, At: s.options.Clock.Now().UTC().Truncate(time.Millisecond)}
}

// run tries until the outcome is proved, or until ctx ends or the attempts are
// spent.
func (s *Store) run(ctx context.Context, a *attempt) Outcome {
	var err error
	for range applyAttempts {
		var outcome Outcome
		var done bool
		if outcome, done, err = s.try(ctx, a); done {
			return outcome
		}
		if clock.Sleep(ctx, s.options.Clock, s.jittered(applyPause)) != nil {
			break
		}
	}
	if !a.lost {
		return Outcome{State: NoEffect, Detail: fmt.Sprint(err)}
	}
	s.settleLater(a)
	return Outcome{State: Settling, Detail: fmt.Sprint(err)}
}

// try reads the document and, where the outcome is still open, sends the
// update once. done is false when it must be tried again.
func (s *Store) try(ctx context.Context, a *attempt) (o Outcome, done bool, err error) {
	b, err := s.readBase(ctx, a.name)
	if err != nil {
		return Outcome{State: NoEffect, Detail: err.Error()}, !a.lost, err
	}
	if outcome, settled := s.verdict(a, b); settled {
		return outcome, true, nil
	}
	// The object has moved on without the change: an update sent on its older
	// version can no longer take effect.
	if a.lost && b.object != a.sentOn {
		a.lost = false
	}
	next := b.next(a.change, a.text)
	err = s.putEnvelope(ctx, a.name, next, b.object)
	switch {
	case err == nil:
		s.adopt(a.name, next, FromApply)
		return Outcome{State: Accepted, Version: next.Version, By: next.By}, true, nil
	case errors.Is(err, platform.ErrConflict):
		return Outcome{}, false, err
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, errValueTooLarge):
		return Outcome{State: NoEffect, Detail: err.Error()}, !a.lost, err
	default:
		a.lost, a.sentOn = true, b.object
		return Outcome{}, false, err
	}
}

// verdict tells what became of a change from the document as it stands. It is
// not settled while the version that the change was made from still stands.
func (s *Store) verdict(a *attempt, b base) (Outcome, bool) {
	if b.Version == a.ifVersion {
		return Outcome{}, false
	}
	maker, known := b.find(a.change.Version)
	switch {
	case known && maker.ID == a.change.ID:
		s.adopt(a.name, b.Envelope, FromPlatform)
		return Outcome{State: Accepted, Version: maker.Version, By: maker.By}, true
	case known || !a.lost:
		return Outcome{State: NotAccepted, Version: b.Version, By: b.By}, true
	default:
		// The history does not reach back to the change's version.
		return Outcome{}, false
	}
}
