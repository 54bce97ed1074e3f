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
	// applyTimeout limits the time that Apply spends on storing a change and on
	// finding out whether an update whose answer was lost took effect. The
	// operator waits during that time.
	applyTimeout = 8 * time.Second
	// applyRetryInterval is the time between two attempts to store a change.
	applyRetryInterval = 200 * time.Millisecond
	// maxApplyAttempts limits the attempts of a change that repeatedly
	// conflicts with other updates of the object.
	maxApplyAttempts = 64
)

// applyAttempt is a change that is being stored on the platform.
type applyAttempt struct {
	name      string
	text      string
	change    Change
	ifVersion int64
	// inDoubt reports that the answer to an update was lost, so that the update
	// may still take effect. sentAtVersion is the object version on which that
	// update is conditional.
	inDoubt       bool
	sentAtVersion platform.Revision
}

// Check validates a document as Apply does, without storing it. The error is a
// *result.Error; it wraps inifile.Problems if the text is not valid.
func (s *Store) Check(name, text string) error {
	service, err := parseDocument(name, text)
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

// Apply stores a document's text if the document's version is ifVersion (0: the
// document does not exist), and returns the outcome of the change. An error
// means that the change was not attempted because the text or the name is not
// valid. After a lost answer the change is identified by its ID: the document
// is read again, and while it is unchanged the same conditional update is sent
// again, which cannot take effect twice. If the outcome is still unknown when
// ctx ends or applyTimeout expires, it is determined in the background.
func (s *Store) Apply(ctx context.Context, name, text string, ifVersion int64, by string) (Outcome, error) {
	if _, err := (inifile.Name{}).Parse(name); err != nil {
		return Outcome{}, result.New(result.BadAdminRequest, "document name %q", name).WithCause(err)
	}
	if err := s.Check(name, text); err != nil {
		return Outcome{}, err
	}
	if !s.triedPeer() {
		// The platform may have lost versions that peers still have.
		s.repairWithRandomPeer(ctx)
	}
	a := &applyAttempt{name: name, text: text, ifVersion: ifVersion, change: s.newChange(ifVersion+1, by)}
	applyCtx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	outcome := s.applyUntilResolved(applyCtx, a)
	outcome.ChangeID = a.change.ID
	s.metrics.applies.WithLabelValues(string(outcome.State)).Inc()
	s.log.Info("Change processed.", "service", name, "by", by, "outcome", outcome.State, "version", outcome.Version, "change", a.change.ID)
	return outcome, nil
}

func (s *Store) newChange(version int64, by string) Change {
	s.randMu.Lock()
	defer s.randMu.Unlock()
	id := s.options.Fleet.Self().ID + "-" + strconv.FormatUint(s.options.Rand.Uint64(), 36)
	return Change{Version: version, ID: id, By: by, At: s.options.Clock.Now().UTC().Truncate(time.Millisecond)}
}

// applyUntilResolved retries until the outcome is certain, ctx ends, or
// maxApplyAttempts is reached.
func (s *Store) applyUntilResolved(ctx context.Context, a *applyAttempt) Outcome {
	var err error
	for range maxApplyAttempts {
		var outcome Outcome
		var done bool
		if outcome, done, err = s.applyOnce(ctx, a); done {
			return outcome
		}
		if clock.Sleep(ctx, s.options.Clock, s.jittered(applyRetryInterval)) != nil {
			break
		}
	}
	if !a.inDoubt {
		return Outcome{State: NoEffect, Detail: fmt.Sprint(err)}
	}
	s.queuePending(a)
	return Outcome{State: Settling, Detail: fmt.Sprint(err)}
}

// applyOnce reads the document and, unless the outcome can already be
// determined from it, sends the update once. done is false if another attempt
// is needed.
func (s *Store) applyOnce(ctx context.Context, a *applyAttempt) (o Outcome, done bool, err error) {
	b, err := s.readBase(ctx, a.name)
	if err != nil {
		return Outcome{State: NoEffect, Detail: err.Error()}, !a.inDoubt, err
	}
	if outcome, settled := s.resolveOutcome(a, b); settled {
		return outcome, true, nil
	}
	// The object has a new version that does not include this change, so the
	// update in doubt, which is conditional on the older version, can no longer
	// take effect.
	if a.inDoubt && b.objectVersion != a.sentAtVersion {
		a.inDoubt = false
	}
	next := b.withChange(a.change, a.text)
	err = s.putEnvelope(ctx, a.name, next, b.objectVersion)
	switch {
	case err == nil:
		s.adoptVersion(a.name, next, FromApply)
		return Outcome{State: Accepted, Version: next.Version, By: next.By}, true, nil
	case errors.Is(err, platform.ErrConflict):
		return Outcome{}, false, err
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, errValueTooLarge):
		return Outcome{State: NoEffect, Detail: err.Error()}, !a.inDoubt, err
	default:
		a.inDoubt, a.sentAtVersion = true, b.objectVersion
		return Outcome{}, false, err
	}
}

// resolveOutcome determines the outcome of a change from the stored document.
// It returns false if the outcome cannot be determined: the document still has
// the version that the change is based on, or the change is in doubt and the
// history does not contain its version.
func (s *Store) resolveOutcome(a *applyAttempt, b baseDocument) (Outcome, bool) {
	if b.Version == a.ifVersion {
		return Outcome{}, false
	}
	stored, inHistory := b.findChange(a.change.Version)
	switch {
	case inHistory && stored.ID == a.change.ID:
		s.adoptVersion(a.name, b.Envelope, FromPlatform)
		return Outcome{State: Accepted, Version: stored.Version, By: stored.By}, true
	case inHistory || !a.inDoubt:
		return Outcome{State: NotAccepted, Version: b.Version, By: b.By}, true
	default:
		// The history does not go back to the change's version.
		return Outcome{}, false
	}
}
