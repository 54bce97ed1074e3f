package membership

import (
	"context"
	"time"

	"github.com/topazrock/topazrock/internal/clock"
)

const (
	// beat is the time between two readings of the list. A leaving upstream
	// must get no new work within 2 s of being listed.
	beat = time.Second
	// jitter spreads the readings of many instances, as a share of the beat.
	jitter = 0.2
	// callBound ends one reading, so that a slow platform delays the next one
	// and never stops them.
	callBound = 3 * time.Second
)

// Run reads the list at each beat until ctx ends.
func (m *Members) Run(ctx context.Context) error {
	for {
		if err := m.Refresh(ctx); err != nil && ctx.Err() == nil {
			m.log.Debug("List not read.", "error", err)
		}
		if err := clock.Sleep(ctx, m.options.Clock, m.nextBeat()); err != nil {
			return err
		}
	}
}

// Refresh reads the list once. After an error the last good list stays in use.
func (m *Members) Refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callBound)
	defer cancel()
	list, err := m.options.API.Inventory(ctx)
	if err == nil {
		err = m.accept(list)
	}
	m.metrics.refreshed(err, m.options.Clock.Now())
	return err
}

func (m *Members) nextBeat() time.Duration {
	factor := 1 - jitter + 2*jitter*m.options.Rand.Float64()
	return time.Duration(float64(beat) * factor)
}
