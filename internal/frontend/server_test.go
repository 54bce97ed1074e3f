package frontend

import (
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/topazrock/topazrock/internal/clock"
)

// An instance is allowed 70,000 callers and gets them. Each has a process ID of
// its own; were there fewer IDs than callers, the next one to come would look for
// a free ID for ever, with the table locked.
func TestEveryAllowedCallerGetsItsOwnID(t *testing.T) {
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
		n := s.open(nil).(*session)
		if PrefixOf(n.processID) != ProcessIDPrefix("i0") {
			t.Fatalf("process ID %d is not of this instance", n.processID)
		}
	}
	is.Equal(len(s.ids.sessions), callers)
}
