package failover

// Step names a point of a claim at which Config.Hook is called.
type Step string

// Steps of a claim, in order.
const (
	StepSuspected Step = "suspected"
	StepWitnessed Step = "witnessed"
	StepClaimed   Step = "claimed"
	StepFenced    Step = "fenced"
	StepChosen    Step = "chosen"
	StepPromoted  Step = "promoted"
	StepRecorded  Step = "recorded"
	StepLearned   Step = "learned"
)
