package cli

import (
	"context"
	"fmt"
	"time"

	"github.com/topazrock/topazrock/internal/adminapi"
	"github.com/topazrock/topazrock/internal/clock"
)

// waitInterval is the pause between two queries of all instances.
const waitInterval = 500 * time.Millisecond

// waitUntilInForce queries the instances until all live ones report at least version,
// or ctx ends. It returns the instances that did not report it in the last
// successful query, and an error if no query succeeded.
func waitUntilInForce(
	ctx context.Context, clk clock.Clock, queryVersions func(context.Context) ([]adminapi.InstanceVersion, error), version int64,
) ([]adminapi.InstanceVersion, error) {
	var missing []adminapi.InstanceVersion
	lastErr := fmt.Errorf("no instance was asked")
	for {
		versions, err := queryVersions(ctx)
		if err == nil {
			missing, lastErr = instancesBelowVersion(versions, version), nil
		} else if lastErr != nil {
			lastErr = err
		}
		if err == nil && len(versions) > 0 && len(missing) == 0 {
			return nil, nil
		}
		if clock.Sleep(ctx, clk, waitInterval) != nil {
			return missing, lastErr
		}
	}
}

// instancesBelowVersion returns the live instances that do not report at least version.
// It skips leaving instances, because they may stop before they report.
func instancesBelowVersion(versions []adminapi.InstanceVersion, version int64) []adminapi.InstanceVersion {
	var missing []adminapi.InstanceVersion
	for _, v := range versions {
		if !v.Leaving && (v.Error != "" || v.Version < version) {
			missing = append(missing, v)
		}
	}
	return missing
}
