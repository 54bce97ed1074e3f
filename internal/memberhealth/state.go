package memberhealth

// State is the health of a member as one home sees it.
type State string

// States.
const (
	// Healthy: the member gets its part of the load.
	Healthy State = "healthy"
	// Ejected: reads go to other members.
	Ejected State = "ejected"
	// Probation: the member gets one read at a time.
	Probation State = "probation"
)

// gaugeValue returns the value of the metric for a state.
func (s State) gaugeValue() float64 {
	switch s {
	case Ejected:
		return 2
	case Probation:
		return 1
	default:
		return 0
	}
}
