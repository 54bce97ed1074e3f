package member

import "context"

// ClaimGuard prevents a promotion that is requested after a later claim has replaced its own.
//
// No check can exclude that a process is paused between the check and the request. Announce
// therefore makes other claimers wait for longer than pauses last, and Check, which follows it,
// ends the right to request well before that wait is over.
type ClaimGuard interface {
	// Announce records that the promotion is about to be requested. It fails if another claim has
	// replaced this one. Repeating it has no effect.
	Announce(ctx context.Context) error
	// Check returns an error if the promotion must no longer be requested. It is called immediately
	// before the bytes of a request are sent, and does not block.
	Check() error
}

// Announce calls the guard's Announce.
func (p Promotion) Announce(ctx context.Context) error {
	if p.Guard == nil {
		return nil
	}
	return p.Guard.Announce(ctx)
}

// Check calls the guard's Check.
func (p Promotion) Check() error {
	if p.Guard == nil {
		return nil
	}
	return p.Guard.Check()
}
