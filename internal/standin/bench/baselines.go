package bench

import (
	"context"
	"math"

	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/logpos"
)

// Baseline names a simpler design that replaces part of topazrock for comparison.
type Baseline string

// Baselines that a run can measure.
const (
	// BaselinePrimaryAck acknowledges a write as soon as the primary answered it.
	BaselinePrimaryAck Baseline = "own-word"
	// BaselinePrimaryReads sends every fresh read to the primary.
	BaselinePrimaryReads Baseline = "primary-reads"
	// BaselineNaive combines BaselinePrimaryAck and BaselinePrimaryReads.
	BaselineNaive Baseline = "naive"
)

var baselines = map[Baseline]func(group.Tracker) group.Tracker{
	"":                   nil,
	BaselinePrimaryAck:   func(t group.Tracker) group.Tracker { return primaryAck{t} },
	BaselinePrimaryReads: func(t group.Tracker) group.Tracker { return primaryReads{t} },
	BaselineNaive:        func(t group.Tracker) group.Tracker { return primaryReads{primaryAck{t}} },
}

// primaryAck is a tracker that treats the primary's response as confirmation.
type primaryAck struct{ group.Tracker }

// Confirm implements group.Tracker.
func (primaryAck) Confirm(context.Context, logpos.TermPosition) error { return nil }

// primaryReads is a tracker whose barrier is a position that no replica reaches, so
// that every fresh read goes to the primary.
type primaryReads struct{ group.Tracker }

// Barrier implements group.Tracker.
func (t primaryReads) Barrier(context.Context) (logpos.TermPosition, error) {
	return logpos.TermPosition{Term: t.Snapshot().Term, Position: math.MaxUint64}, nil
}
