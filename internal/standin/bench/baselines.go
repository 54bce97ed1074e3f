package bench

import (
	"context"
	"math"

	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/logpos"
)

// Baseline names a simpler design that runs in the product's place.
type Baseline string

// Baselines that a run can measure.
const (
	// BaselineOwnWord acknowledges a write as soon as the primary answered it.
	BaselineOwnWord Baseline = "own-word"
	// BaselinePrimaryReads sends every read that must be fresh to the primary.
	BaselinePrimaryReads Baseline = "primary-reads"
	// BaselineNaive does both.
	BaselineNaive Baseline = "naive"
)

var baselines = map[Baseline]func(group.Tracker) group.Tracker{
	"":                   nil,
	BaselineOwnWord:      func(t group.Tracker) group.Tracker { return ownWord{t} },
	BaselinePrimaryReads: func(t group.Tracker) group.Tracker { return primaryReads{t} },
	BaselineNaive:        func(t group.Tracker) group.Tracker { return primaryReads{ownWord{t}} },
}

// ownWord takes the primary's answer for a confirmation.
type ownWord struct{ group.Tracker }

// Confirm implements group.Tracker.
func (ownWord) Confirm(context.Context, logpos.Mark) error { return nil }

// primaryReads asks for a position that no replica reaches.
type primaryReads struct{ group.Tracker }

// Barrier implements group.Tracker.
func (t primaryReads) Barrier(context.Context) (logpos.Mark, error) {
	return logpos.Mark{Term: t.Snapshot().Term, Position: math.MaxUint64}, nil
}
