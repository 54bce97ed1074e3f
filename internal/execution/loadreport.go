package execution

import "time"

// LoadReport is what a home tells the entry instance of a unit about its load, for the entry
// instance's next units of the class. It is left out by homes that do not use the feature.
type LoadReport struct {
	// Free is how many units of the class would run at once.
	Free int `json:"free,omitempty"`
	// Wait is the expected wait of a unit that arrives now.
	Wait time.Duration `json:"wait,omitempty"`
	// Step is how much each further unit lengthens the wait once Free is used.
	Step time.Duration `json:"step,omitempty"`
	// Spent is how long the unit took at the home.
	Spent time.Duration `json:"spent,omitempty"`
}

// maxReportedFree is far more than the connections of a home.
const maxReportedFree = 1 << 16

// IsValid reports whether each value is one that a home can measure.
func (r LoadReport) IsValid() bool {
	times := validTime(r.Wait) && validTime(r.Step) && validTime(r.Spent)
	return times && r.Free >= 0 && r.Free <= maxReportedFree
}
