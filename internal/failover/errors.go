package failover

import "errors"

var (
	// ErrBadRecord means that a group's object on the platform cannot be decoded.
	ErrBadRecord = errors.New("failover: group object is malformed")
	// ErrRivalClaim means that another claim of a higher term has not expired yet.
	ErrRivalClaim = errors.New("failover: another claim is in progress")
	// ErrLostClaim means that another claimer was granted the term.
	ErrLostClaim = errors.New("failover: the term was granted to another claim")
	// errForgottenClaim means that the platform's store may have lost a claim that is still in progress.
	errForgottenClaim = errors.New("failover: a claim that the platform has lost may be in progress")
	// errRecovered means that the cause of a claim no longer applies.
	errRecovered = errors.New("failover: the cause of the claim no longer applies")
	// errCoolingDown means that a primary of the group was replaced for the same cause a short time ago.
	errCoolingDown = errors.New("failover: a failing primary of the group was replaced recently")
	// errTermSuperseded aborts an attempt once a higher term is known.
	errTermSuperseded = errors.New("failover: a higher term was seen")
	// errClaimExpired means that the attempt expired and another claim may be in effect.
	errClaimExpired = errors.New("failover: the claim has expired")
)
