package failover

import "context"

// Witness queries instances in other failure domains for the state of a group's primary.
type Witness interface {
	// Query returns the reports that arrived before ctx ended, in any order.
	Query(ctx context.Context, request WitnessRequest) []WitnessReport
}

// noWitness is the Witness of an instance that has no peers.
type noWitness struct{}

// Query implements Witness.
func (noWitness) Query(context.Context, WitnessRequest) []WitnessReport { return nil }
