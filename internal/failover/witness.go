package failover

import "context"

// Witness asks instances in other failure domains about a group's primary.
type Witness interface {
	// Ask returns the answers that came before ctx ended, in any order.
	Ask(ctx context.Context, q Question) []WitnessReport
}

// noWitness stands where there are no other instances.
type noWitness struct{}

// Ask implements Witness.
func (noWitness) Ask(context.Context, Question) []WitnessReport { return nil }
