package adminapi

// ApplyState is what became of a change.
type ApplyState string

// States of a change. Each is given only when it is proved; StateSettling is
// for a lost answer that could not be settled yet.
const (
	// StateAccepted: the change stands as Outcome.Version.
	StateAccepted ApplyState = "accepted"
	// StateNotAccepted: another change came first; its version and author are
	// in the Outcome.
	StateNotAccepted ApplyState = "not accepted"
	// StateNoEffect: the change was not stored.
	StateNoEffect ApplyState = "did not take effect"
	// StateSettling: whether the change was stored is not known.
	StateSettling ApplyState = "outcome unknown, still settling"
)

// Outcome is what became of an apply.
type Outcome struct {
	State ApplyState `json:"state"`
	// Version is the accepted version, or the one that stands instead.
	Version int64 `json:"version"`
	// By is the author of the version that stands instead.
	By string `json:"by,omitempty"`
	// Detail tells why a change did not take effect or is not settled.
	Detail string `json:"detail,omitempty"`
}
