package executor

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/platform"
	"github.com/topazrock/topazrock/internal/result"
)

// restartedHome is the nearer of two homes of a group. It refuses units as draining until it
// returns.
type restartedHome struct {
	returnsAt time.Time
	// units counts the units that arrived at each home.
	units map[string]int
}

// Homes implements Homes.
func (*restartedHome) Homes(string) []platform.Instance {
	return []platform.Instance{{ID: "near", PeerAddress: "near"}, {ID: "far", PeerAddress: "far"}}
}

// FindInstance implements Homes.
func (*restartedHome) FindInstance(string) (platform.Instance, bool) {
	return platform.Instance{}, false
}

// Call implements peer.Caller.
func (h *restartedHome) Call(_ context.Context, address, _ string, _, _ any) error {
	h.units[address]++
	if address == "near" && time.Now().Before(h.returnsAt) {
		return result.New(result.Draining, "instance near")
	}
	return nil
}

// Load pattern: instances are stopped and started in turn. Guards against a home that is tried last
// long after it has returned, so that the others serve its callers.
func TestHomeIsUsedAgainAfterItsShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const shutdown, step = 6 * time.Second, 100 * time.Millisecond
		homes := &restartedHome{returnsAt: time.Now().Add(shutdown), units: make(map[string]int)}
		r := NewRouter("self", "self:1", homes, homes, clock.System{}, NewMetrics(prometheus.NewRegistry()))
		r.SetShutdownTime(shutdown)
		run := func() {
			_, err := r.Execute(t.Context(), &execution.Unit{ID: "u", Group: "g", Timeout: time.Second}, nil)
			is.NoErr(err)
		}
		for range 5 * shutdown / step {
			run()
			time.Sleep(step)
		}
		// One unit is refused at the start; the others go to the far home until the shutdown is over.
		is.Equal(homes.units["far"], 1+int(shutdown/step))
		is.Equal(homes.units["near"], 1+int(4*shutdown/step)-1)
	})
}
