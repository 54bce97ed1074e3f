// Package slopes measures how the cost of an instance's components grows with the number
// of callers, groups, peers, instances, documents and changes, and fits a line to each
// cost. docs/CAPACITY.md derives the cost of a fleet from these lines.
//
// Processor time is that of this process only. The members in Options run as separate
// processes. Memory is heap and stacks in use after a garbage collection. Bytes are
// counted on the connections, without TCP and IP headers.
package slopes

import (
	"context"
	"time"
)

// Options configures a measurement.
type Options struct {
	// Window is how long the load of a point runs, for measurements with a load.
	Window time.Duration
	// Seed seeds all random sources.
	Seed uint64
	// Members holds the addresses of three running simulated members.
	Members []string
}

// Measurement measures the costs of one driver at several points.
type Measurement struct {
	Name string
	run  func(ctx context.Context, o Options) ([]Slope, error)
}

// Run runs the measurement and returns one slope per cost.
func (m Measurement) Run(ctx context.Context, o Options) ([]Slope, error) { return m.run(ctx, o) }

// All returns all measurements in the order of docs/CAPACITY.md.
func All() []Measurement {
	return []Measurement{
		{"callers", measureCallers},
		{"groups", measureGroups},
		{"seldom-groups", measureRarelyPolledGroups},
		{"instances", measureInstances},
		{"homes", measureHomes},
		{"peers", measurePeers},
		{"calls", measureCalls},
		{"documents", measureDocuments},
		{"stored", measureStoredDocuments},
		{"changes", measureChanges},
		{"failovers", measureFailovers},
		{"loans", measureLoans},
	}
}
