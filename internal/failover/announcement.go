package failover

import (
	"context"
	"errors"

	"github.com/topazrock/topazrock/internal/platform"
)

// announcement is what an attempt has announced. Only memberAttempt.promote of the target changes
// it; it may be read once that has ended or has closed attempt.promoted.
type announcement struct {
	// record and version are those of the claim, and of the announcement once it is stored.
	record  Record
	version platform.Revision
	// tried means that the announcement was sent, and stored that it was stored.
	tried, stored bool
}

// Announce implements member.ClaimGuard. The update is conditional on the claim's version: it fails
// if another claim has replaced this one, and while it is stored, other claimers wait AnnouncedTimeout
// before they replace it.
func (a *attempt) Announce(ctx context.Context) error {
	if a.announcement.stored {
		return nil
	}
	r := a.claim.record
	r.Target = a.target
	a.announcement.tried = true
	o, err := a.claimer.storeRecord(ctx, r, a.claim.version)
	switch {
	case err == nil && o.Version.Era() == a.claim.version.Era():
		a.recordAnnouncement(r, o.Version)
		return nil
	case err == nil:
		return a.claimReplaced()
	case !errors.Is(err, platform.ErrConflict):
		return err
	}
	// The object has changed: by another claim, or by an announcement whose answer was lost.
	current, version, err := a.claimer.readRecord(ctx)
	switch {
	case err != nil:
		return err
	case current != r || version.Era() != a.claim.version.Era():
		return a.claimReplaced()
	}
	a.recordAnnouncement(r, version)
	return nil
}

func (a *attempt) recordAnnouncement(r Record, version platform.Revision) {
	a.announcement.record, a.announcement.version, a.announcement.stored = r, version, true
	a.claimer.log.Info("Promotion is announced.", "term", a.term, "member", a.target, "number", r.Number, "claim_age", a.claim.age.Elapsed().String())
}

func (a *attempt) claimReplaced() error {
	a.claimer.Metrics.withheld.WithLabelValues(withheldReplaced).Inc()
	a.claimer.log.Warn("Promotion is not requested because another claim has replaced this one.", "term", a.term, "member", a.target, "number", a.claim.record.Number)
	a.abort(ErrLostClaim)
	return ErrLostClaim
}

// Check implements member.ClaimGuard. It ends the attempt if its claim has expired: the timer of the
// attempt may fire later, and does not count suspensions of the machine.
func (a *attempt) Check() error {
	if a.remaining() > 0 {
		return nil
	}
	a.abort(errClaimExpired)
	a.claimer.Metrics.withheld.WithLabelValues(withheldExpired).Inc()
	a.claimer.log.Warn("Promotion is not requested because its claim has expired.", "term", a.term, "member", a.target, "number", a.claim.record.Number)
	return errClaimExpired
}

// withdraw stores that nothing is requested under the claim any more, so that other claimers do not
// wait for AnnouncedTimeout. It is called once the attempt has ended. When ctx has ended, it tries once.
func (a *attempt) withdraw(ctx context.Context) {
	if !a.announcement.tried {
		return
	}
	for range maxRecordTries {
		err := a.tryWithdraw(context.WithoutCancel(ctx))
		if err == nil || errors.Is(err, platform.ErrConflict) {
			return
		}
		a.claimer.log.Warn("Withdrawing a claim failed.", "term", a.term, "number", a.claim.record.Number, "error", err)
		if ctx.Err() != nil {
			return
		}
		a.claimer.pause(ctx, a.claimer.Settings.MinBackoff, nil)
	}
}

// tryWithdraw replaces the claim's record whether or not the announcement is stored: if its answer
// was lost, it may still be on its way, and is rejected if it arrives later.
func (a *attempt) tryWithdraw(ctx context.Context) error {
	current, version, err := a.claimer.readRecord(ctx)
	if err != nil || current.Claim != a.claim.record.Claim {
		return err
	}
	current.Withdrawn = true
	_, err = a.claimer.storeRecord(ctx, current, version)
	return err
}
