package admission

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// averageWeight is the weight of one more service time in the moving average,
// as the divisor of its difference from it.
const averageWeight = 8

// class is what the controller keeps of one class of requests.
type class struct {
	name    string
	waiting int
	// service is the moving average of the time a slot is held; zero while
	// nothing has finished.
	service  time.Duration
	admitted prometheus.Counter
	wait     prometheus.Observer
}

// observe takes in one more service time.
func (c *class) observe(d time.Duration) {
	if c.service == 0 {
		c.service = d
		return
	}
	c.service += (d - c.service) / averageWeight
}
