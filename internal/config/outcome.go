package config

// State is the state of a change.
type State string

// States of a change. All except Settling are reported only when they are
// certain.
const (
	// Accepted means that the change was stored as Outcome.Version. A later
	// version may have replaced it since.
	Accepted State = "accepted"
	// NotAccepted means that another change was stored first. The Outcome names
	// the stored version.
	NotAccepted State = "not accepted"
	// NoEffect means that the change was not stored and never will be.
	NoEffect State = "did not take effect"
	// Settling means that it is not yet known whether the change was stored.
	Settling State = "outcome unknown, still settling"
)

// Outcome is the result of a change.
type Outcome struct {
	State State
	// Version is the accepted version, or the stored version if the change was
	// not accepted.
	Version int64
	// By is the author of that version.
	By string
	// ChangeID identifies the requested change.
	ChangeID string
	// Detail explains why a change did not take effect or is not settled.
	Detail string
}
