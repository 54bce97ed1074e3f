package admission

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// averageDivisor is the inverse of the weight of a new sample in the moving averages.
const averageDivisor = 8

// class holds the state of one request class in a controller.
type class struct {
	name    string
	waiting int
	// serviceTime is the moving average of the time from admission to the answer; zero
	// before the first answer.
	serviceTime time.Duration
	// holdTime is the moving average of the time from admission to release, over slots that
	// transactions kept after the answer; zero before the first such slot.
	holdTime time.Duration
	// slowAverage is a moving average of the service time over more answers than
	// serviceTime. unloadedTime follows its lowest value, which estimates the service time
	// when the member is idle.
	slowAverage  time.Duration
	unloadedTime time.Duration
	answerCount  int
	admitted     prometheus.Counter
	waitTime     prometheus.Observer
}

// movingAverage adds a sample to a moving average. Zero means that it has no samples yet.
func movingAverage(average, sample time.Duration) time.Duration {
	if average == 0 {
		return sample
	}
	return average + (sample-average)/averageDivisor
}

const (
	// slowAverageDivisor is the inverse of the weight of a new answer in slowAverage.
	// Service times differ by a factor of two or three between statements; over this many
	// answers the lowest average is about ten percent below the mean.
	slowAverageDivisor = 64
	// minAnswers is the number of answers needed before slowAverage is used for comparison.
	minAnswers = 16
	// unloadedGrowth bounds the growth of unloadedTime per answer. Statements that take
	// longer permanently become the new baseline after about a minute of load; a queue that
	// lasts a few seconds does not.
	unloadedGrowth = 1.0005
)

// recordSlowdown records a service time and returns its ratio to the unloaded service time.
func (c *class) recordSlowdown(took time.Duration) float64 {
	c.answerCount++
	c.slowAverage += (took - c.slowAverage) / time.Duration(min(c.answerCount, slowAverageDivisor))
	if c.answerCount < minAnswers {
		c.unloadedTime = c.slowAverage
		return 1
	}
	c.unloadedTime = min(time.Duration(float64(c.unloadedTime)*unloadedGrowth), c.slowAverage)
	return float64(took) / float64(max(c.unloadedTime, 1))
}
