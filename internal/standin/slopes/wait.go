package slopes

import (
	"context"
	"time"

	"github.com/topazrock/topazrock/internal/clock"
	standin "github.com/topazrock/topazrock/internal/standin/platform"
)

const (
	// waitTimeout limits the time that waitUntil waits.
	waitTimeout = time.Minute
	// pollInterval is the time between two checks of a condition.
	pollInterval = 2 * time.Millisecond
)

// waitUntil polls until done returns true. It returns an error if ctx ends or
// waitTimeout expires first.
func waitUntil(ctx context.Context, done func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	for !done() {
		if err := clock.Sleep(ctx, clock.System{}, pollInterval); err != nil {
			return err
		}
	}
	return nil
}

// totalCalls returns the number of calls of all kinds that a platform has received.
func totalCalls(api *standin.Store) int {
	sum := 0
	for _, n := range api.Calls() {
		sum += n
	}
	return sum
}
