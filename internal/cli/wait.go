package cli

import (
	"context"
	"fmt"
	"time"

	"github.com/topazrock/topazrock/internal/adminapi"
	"github.com/topazrock/topazrock/internal/clock"
)

// waitInterval is the pause between two rounds of asking the instances.
const waitInterval = 500 * time.Millisecond

// waitInForce asks until every live instance reports at least version, or ctx
// ends. It returns those that did not report it in the last whole round. The
// error is for a list that could not be read at all.
func waitInForce(
	ctx context.Context, k clock.Clock, ask func(context.Context) ([]adminapi.InstanceVersion, error), version int64,
) ([]adminapi.InstanceVersion, error) {
	var missing []adminapi.InstanceVersion
	failed := fmt.Errorf("no instance was asked")
	for {
		versions, err := ask(ctx)
		if err == nil {
			missing, failed = behind(versions, version), nil
		} else if failed != nil {
			failed = err
		}
		if err == nil && len(versions) > 0 && len(missing) == 0 {
			return nil, nil
		}
		if clock.Sleep(ctx, k, waitInterval) != nil {
			return missing, failed
		}
	}
}

// behind returns the live instances that do not report at least version.
// Leaving ones are not waited for: they may be gone before they report.
func behind(versions []adminapi.InstanceVersion, version int64) []adminapi.InstanceVersion {
	var late []adminapi.InstanceVersion
	for _, v := range versions {
		if !v.Leaving && (v.Error != "" || v.Version < version) {
			late = append(late, v)
		}
	}
	return late
}
