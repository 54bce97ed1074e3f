package frontend

import (
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/topazrock/topazrock/internal/clock"
)

// An instance that allows 70,000 callers has that many. Each must have its own process
// ID. If there were fewer IDs than callers, the next caller would search for a free ID
// forever while the table is locked.
func TestProcessIDsAreUniqueAtMaxCallers(t *testing.T) {
	is := is.New(t)
	const callers = 70_000
	s := NewServer(Config{
		Instance:   "i0",
		Clock:      clock.System{},
		Logger:     hclog.NewNullLogger(),
		Metrics:    NewMetrics(prometheus.NewRegistry()),
		MaxCallers: callers,
	})
	for range callers {
		sess := s.openSession(nil).(*session)
		if PrefixOfProcessID(sess.processID) != ProcessIDPrefix("i0") {
			t.Fatalf("process ID %d does not have this instance's prefix", sess.processID)
		}
	}
	is.Equal(len(s.processIDs.sessions), callers)
}
