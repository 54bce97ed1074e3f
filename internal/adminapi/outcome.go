package adminapi

// ApplyState is the state of a change after an apply request.
type ApplyState string

// States of a change. StateOutcomeUnknown is reported if the platform's response was
// lost and the outcome could not be determined yet; each of the others is reported only
// if it is certain.
const (
	// StateAccepted: the change is stored as Outcome.Version.
	StateAccepted ApplyState = "accepted"
	// StateNotAccepted: another change was stored first; Outcome contains its
	// version and author.
	StateNotAccepted ApplyState = "not accepted"
	// StateNotStored: the change was not stored.
	StateNotStored ApplyState = "did not take effect"
	// StateOutcomeUnknown: it is not known whether the change was stored.
	StateOutcomeUnknown ApplyState = "outcome unknown, still settling"
)

// Outcome is the result of an apply request.
type Outcome struct {
	State ApplyState `json:"state"`
	// Version is the accepted version, or the current one if the change was not
	// accepted.
	Version int64 `json:"version"`
	// By is the author of the current version if the change was not accepted.
	By string `json:"by,omitempty"`
	// Detail explains why the change was not stored or its outcome is unknown.
	Detail string `json:"detail,omitempty"`
}
