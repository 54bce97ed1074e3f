package slopes

import (
	"context"
	"time"

	"github.com/topazrock/topazrock/internal/clock"
	standin "github.com/topazrock/topazrock/internal/standin/platform"
)

const (
	// waitTimeout bounds a wait for parts to come to a state.
	waitTimeout = time.Minute
	// settlePoll is the time between two looks.
	settlePoll = 2 * time.Millisecond
)

// waitUntil looks until done, or returns an error at waitTimeout.
func waitUntil(ctx context.Context, done func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	for !done() {
		if err := clock.Sleep(ctx, clock.System{}, settlePoll); err != nil {
			return err
		}
	}
	return nil
}

// callsOf counts the calls that a platform has taken.
func callsOf(api *standin.Store) int {
	sum := 0
	for _, n := range api.Calls() {
		sum += n
	}
	return sum
}
