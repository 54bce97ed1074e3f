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
	"github.com/topazrock/topazrock/internal/peer"
	"github.com/topazrock/topazrock/internal/platform"
)

// homesWithDeadNearest is a group with two homes at other instances, the nearer of which is
// dead: a call to it fails with ErrNotSent after a delay.
type homesWithDeadNearest struct{ deadCalls int }

// deadCallTime is the duration of a call to the dead home.
const deadCallTime = 250 * time.Millisecond

// Homes implements Homes.
func (*homesWithDeadNearest) Homes(string) []platform.Instance {
	return []platform.Instance{{ID: "dead", PeerAddress: "dead"}, {ID: "well", PeerAddress: "well"}}
}

// FindInstance implements Homes.
func (*homesWithDeadNearest) FindInstance(string) (platform.Instance, bool) {
	return platform.Instance{}, false
}

// Call implements peer.Caller.
func (h *homesWithDeadNearest) Call(ctx context.Context, address, _ string, _, reply any) error {
	if address == "dead" {
		h.deadCalls++
		_ = clock.Sleep(ctx, clock.System{}, deadCallTime)
		return peer.ErrNotSent
	}
	reply.(*execution.Reply).Messages = []byte("rows")
	return nil
}

// A machine is removed for good and is still listed as the nearest home of a group. At an instance
// that is not home to the group, one request in two seconds may wait for the dead home, but not
// every request.
func TestDeadHomeIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		homes := &homesWithDeadNearest{}
		r := NewRouter("self", "self:1", homes, homes, clock.System{}, NewMetrics(prometheus.NewRegistry()))
		slow := 0
		for range 100 {
			start := time.Now()
			reply, err := r.Execute(t.Context(), &execution.Unit{ID: "u", Group: "g", Timeout: time.Second}, nil)
			is.NoErr(err)
			is.Equal(string(reply.Messages), "rows")
			if time.Since(start) >= deadCallTime {
				slow++
			}
			time.Sleep(50 * time.Millisecond)
		}
		is.True(slow > 0)
		is.True(slow <= 4)
		is.Equal(homes.deadCalls, slow)
	})
}
