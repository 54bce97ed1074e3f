package failover

// Step is a point during a failover at which Config.OnStep is called.
type Step string

// Steps of a failover, in order, except that StepRecorded and StepAttached are reached
// concurrently.
const (
	StepSuspected Step = "suspected"
	StepWitnessed Step = "witnessed"
	StepClaimed   Step = "claimed"
	StepFenced    Step = "fenced"
	StepChosen    Step = "chosen"
	StepPromoted  Step = "promoted"
	StepRecorded  Step = "recorded"
	StepAttached  Step = "learned"
)
