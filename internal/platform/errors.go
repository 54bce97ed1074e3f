package platform

import "errors"

var (
	// ErrNotFound says that the object does not exist.
	ErrNotFound = errors.New("platform: object not found")
	// ErrConflict says that the object's version was not the expected one, and
	// that nothing was stored.
	ErrConflict = errors.New("platform: version conflict")
	// ErrCompacted says that a watch asked for a revision that is gone; list again.
	ErrCompacted = errors.New("platform: revision compacted")
	// ErrUnavailable says that the call did not reach the platform.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrOutcomeUnknown says that the answer to a Put was lost: it may have
	// taken effect. Read the object again to settle it.
	ErrOutcomeUnknown = errors.New("platform: outcome unknown")
)
