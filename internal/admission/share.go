package admission

import "time"

const (
	// MaxWeight is the highest weight of a workspace. A larger one is a fault of the
	// configuration, and would leave the others next to nothing.
	MaxWeight = 256
	// defaultWeight is the weight of a request without a workspace, and of one whose weight is
	// missing or invalid.
	defaultWeight = 1
	// minCost is the cost of a slot before its class has a service time, so that the first
	// slots of a class are not free.
	minCost = time.Millisecond
)

// share is the account of one workspace at a gate.
type share struct {
	weight  float64
	waiting int
	// used is the service time granted to the workspace divided by its weight, in
	// nanoseconds. Sums are exact for weights that are powers of two.
	used float64
}

// charge adds the cost of a slot.
func (s *share) charge(cost time.Duration) { s.used += float64(cost) / s.weight }

// refund removes the cost of a slot that was not used.
func (s *share) refund(cost time.Duration) { s.used -= float64(cost) / s.weight }

// cost returns the service time that is charged for a slot of the class.
func (c *class) cost() time.Duration { return max(c.serviceTime, minCost) }
