package features

import (
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
)

// Set holds the modes of an instance's features and the conditions seen so far. A nil Set has
// every feature disabled.
type Set struct {
	modes   Modes
	log     hclog.Logger
	metrics *Metrics
	seen    atomic.Uint32
}

// New returns a Set in which no condition holds yet.
func New(modes Modes, log hclog.Logger, metrics *Metrics) *Set {
	s := &Set{modes: modes, log: log.Named("features"), metrics: metrics}
	s.updateMetrics()
	return s
}

// Observe records that a condition holds.
func (s *Set) Observe(c Condition) {
	previous := Condition(s.seen.Or(uint32(c)))
	if previous|c == previous {
		return
	}
	for _, f := range All() {
		if s.enabledBy(f, previous|c) && !s.enabledBy(f, previous) {
			s.log.Info("Feature was enabled by the deployment's configuration.", "feature", f)
		}
	}
	s.updateMetrics()
}

// Enabled reports whether a feature is in use.
func (s *Set) Enabled(f Feature) bool {
	return s != nil && s.enabledBy(f, Condition(s.seen.Load()))
}

// enabledBy reports whether a feature is in use if the conditions seen hold.
func (s *Set) enabledBy(f Feature, seen Condition) bool {
	switch s.modes[f] {
	case ModeOn:
		return true
	case ModeOff:
		return false
	default:
		return seen&f.conditions() != 0
	}
}

func (s *Set) updateMetrics() {
	for _, f := range All() {
		value := 0.0
		if s.Enabled(f) {
			value = 1
		}
		s.metrics.enabled.WithLabelValues(string(f)).Set(value)
	}
}
