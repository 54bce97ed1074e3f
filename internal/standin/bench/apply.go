package bench

import (
	"context"
	"time"

	"github.com/topazrock/topazrock/internal/adminclient"
	"github.com/topazrock/topazrock/internal/settings"
)

const (
	applyTimeout = 20 * time.Second
	applyPoll    = 20 * time.Millisecond
)

// applyDocument applies the service document through the admin API of the first
// instance, as an operator does, and waits until every instance is ready.
func (f *fleet) applyDocument(all []*settings.Settings, text string) error {
	ctx, cancel := context.WithTimeout(context.Background(), applyTimeout)
	defer cancel()
	first := adminclient.New(all[0].Admin.Address, "", "bench")
	for {
		_, err := first.Apply(ctx, f.profile.service, text, 0)
		if err == nil {
			break
		}
		if ctx.Err() != nil {
			return err
		}
		sleep(ctx, applyPoll)
	}
	for _, s := range all {
		if err := awaitReady(ctx, s.Admin.Address); err != nil {
			return err
		}
	}
	return nil
}

func awaitReady(ctx context.Context, address string) error {
	client := adminclient.New(address, "", "bench")
	for {
		v, err := client.Status(ctx)
		if err == nil && v.Readiness.Ready {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		sleep(ctx, applyPoll)
	}
}
