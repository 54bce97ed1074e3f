// Package slopes measures what one instance's parts cost against the number of
// callers, groups, peers, instances, documents and changes, and fits a line to
// each. docs/CAPACITY.md works out the fleet's cost from these lines.
//
// Processor time is that of this process alone: members run as processes of
// their own. Memory is heap and stacks in use after a collection. Bytes are
// counted on the connections, without the headers of TCP and IP.
package slopes

import (
	"context"
	"time"
)

// Options say how long and where to measure.
type Options struct {
	// Window is how long a load runs at each point that needs one.
	Window time.Duration
	// Seed seeds all random choices.
	Seed uint64
	// Members are the addresses of three running stand-in members.
	Members []string
}

// Measurement measures one cost driver at several points.
type Measurement struct {
	Name string
	run  func(ctx context.Context, o Options) ([]Slope, error)
}

// Run measures.
func (m Measurement) Run(ctx context.Context, o Options) ([]Slope, error) { return m.run(ctx, o) }

// All returns every measurement in the order of the page.
func All() []Measurement {
	return []Measurement{
		{"callers", measureCallers},
		{"groups", measureGroups},
		{"seldom-groups", measureSeldomGroups},
		{"instances", measureInstances},
		{"homes", measureHomes},
		{"peers", measurePeers},
		{"calls", measureCalls},
		{"documents", measureDocuments},
		{"stored", measureStored},
		{"changes", measureChanges},
		{"failovers", measureFailovers},
		{"loans", measureLoans},
	}
}
