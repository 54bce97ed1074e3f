package execution

import (
	"math"
	"time"
)

// HomeReport is what a home tells the entry instance of a unit with a ConnectionOwner, so that the
// entry instance can choose a home for the owner's next unit. It is left out by homes that do not
// use the feature.
type HomeReport struct {
	// OwnerRate is the number of units a second of the owner that the home serves.
	OwnerRate float64 `json:"owner_rate"`
	// IdleLifetime is how long a connection of the home stays idle before it is closed to make
	// room for another owner's.
	IdleLifetime time.Duration `json:"idle_lifetime"`
	// OpenTime is how long the home takes to open a connection.
	OpenTime time.Duration `json:"open_time"`
	// Spent is how long the unit took at the home.
	Spent time.Duration `json:"spent"`
}

const (
	// maxReportedRate is far more than one home can serve in a second.
	maxReportedRate = 1e6
	// maxReportedTime is longer than any statement or opening may take.
	maxReportedTime = time.Hour
)

// IsValid reports whether each value is one that a home can measure.
func (r HomeReport) IsValid() bool {
	rate := r.OwnerRate >= 0 && r.OwnerRate <= maxReportedRate && !math.IsNaN(r.OwnerRate)
	return rate && validTime(r.IdleLifetime) && validTime(r.OpenTime) && validTime(r.Spent)
}

func validTime(d time.Duration) bool { return d >= 0 && d <= maxReportedTime }
