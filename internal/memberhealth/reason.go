package memberhealth

// Reason is why a member was ejected. It is the label of a metric.
type Reason string

// Reasons.
const (
	// ReasonFailed: statements ended in errors of the member.
	ReasonFailed Reason = "failed"
	// ReasonSilent: statements were not answered in time, or their connection broke.
	ReasonSilent Reason = "silent"
)
