package failover

import "errors"

var (
	// ErrBadRecord says that a group's object on the platform cannot be read.
	ErrBadRecord = errors.New("failover: group object is malformed")
	// ErrRivalClaim says that another claim of a higher term is in its time.
	ErrRivalClaim = errors.New("failover: another claim is under way")
	// ErrLostClaim says that another claimer got the term.
	ErrLostClaim = errors.New("failover: the term went to another claim")
	// errRecovered says that the reason for a claim went away before it.
	errRecovered = errors.New("failover: the primary answers again")
	// errReplaced ends an attempt whose term has passed.
	errReplaced = errors.New("failover: a higher term was seen")
	// errLate says that the attempt's time is over and another claim may stand.
	errLate = errors.New("failover: the claim's time is over")
)
