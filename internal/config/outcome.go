package config

// State is what became of a change.
type State string

// States of a change. Each but Settling is given only when it is proved.
const (
	// Accepted: the change stands as Outcome.Version, or stood until a later one.
	Accepted State = "accepted"
	// NotAccepted: another change came first; the Outcome names the one that
	// stands.
	NotAccepted State = "not accepted"
	// NoEffect: the change was not stored and never will be.
	NoEffect State = "did not take effect"
	// Settling: whether the change was stored is not known yet.
	Settling State = "outcome unknown, still settling"
)

// Outcome is what became of a change.
type Outcome struct {
	State State
	// Version is the accepted version, or the one that stands instead.
	Version int64
	// By is the author of that version.
	By string
	// ChangeID names the change that was asked for.
	ChangeID string
	// Detail tells why a change did not take effect or is not settled.
	Detail string
}
