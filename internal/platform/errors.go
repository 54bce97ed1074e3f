package platform

import "errors"

var (
	// ErrNotFound reports that the object does not exist.
	ErrNotFound = errors.New("platform: object not found")
	// ErrConflict reports that the object's version was not the expected one and that
	// nothing was stored.
	ErrConflict = errors.New("platform: version conflict")
	// ErrCompacted reports that a watch asked for a revision that is no longer available.
	// List the objects again.
	ErrCompacted = errors.New("platform: revision compacted")
	// ErrUnavailable reports that the call did not reach the platform.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrOutcomeUnknown reports that the response to a Put was lost and that the Put may
	// have taken effect. Read the object to determine the outcome.
	ErrOutcomeUnknown = errors.New("platform: outcome unknown")
	// ErrUnreadable reports an object without a value: what is stored cannot be decoded, or exceeds
	// the limits of what is kept.
	ErrUnreadable = errors.New("platform: the stored value cannot be read, is too large or nests too deeply")
)
