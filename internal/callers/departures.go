package callers

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/features"
	"github.com/topazrock/topazrock/internal/netio"
)

const (
	// halfCloseWindow is the time from the start of a unit to the first look at its caller's
	// connection. A caller that closes its sending side as soon as it has sent its last statement
	// does so within this time and still reads; one that gives up has waited longer.
	halfCloseWindow = 20 * time.Millisecond
	// departureInterval is the time between two further looks at a connection. It is short compared
	// with the time budgets of callers, and a look costs the processor about a microsecond.
	departureInterval = 50 * time.Millisecond
)

// Departures notices callers that leave while one of their units waits or runs. An idle caller costs
// nothing, and a unit that ends within halfCloseWindow costs a timer. A nil Departures notices none.
//
// A reset connection shows that the caller has left. The end of its stream does not: the caller may
// still read. It counts only if it comes later than halfCloseWindow after the start of the unit, and
// the unit is then refused with an answer, so that a caller that does read learns that it did not run.
//
// Lock order: Watch.mu, then execution.Departure.mu.
type Departures struct {
	features *features.Set
	clock    clock.Clock
	log      hclog.Logger
	left     *prometheus.CounterVec
}

// NewDepartures returns a Departures that works while the feature is enabled.
func NewDepartures(f *features.Set, k clock.Clock, log hclog.Logger, r prometheus.Registerer) *Departures {
	d := &Departures{features: f, clock: k, log: log}
	d.left = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "topazrock_caller_departures_total",
		Help: "Callers that left before the answer to a unit, by the stage of the unit and by what showed it.",
	}, []string{"stage", "evidence"})
	r.MustRegister(d.left)
	return d
}

// Watch looks at the connection of one caller while one of its units runs. A nil Watch looks at
// nothing.
type Watch struct {
	departures *Departures
	conn       net.Conn
	unit       *execution.Departure
	release    func()

	mu    sync.Mutex
	timer *time.Timer
	// looked is set after the first look, and halfClosed if that saw the end of the stream.
	looked, halfClosed bool
	// left means that the caller has left, ended that the unit has ended.
	left, ended bool
}

// Begin starts to watch the caller of a unit and returns the context of the unit. left reports that
// the caller left during an earlier unit; this one is then not sent.
func (d *Departures) Begin(ctx context.Context, conn net.Conn, left bool) (context.Context, *Watch) {
	if d == nil || !d.features.Enabled(features.CallerDisconnects) {
		return ctx, nil
	}
	ctx, unit, release := execution.WithDeparture(ctx, "")
	w := &Watch{departures: d, conn: conn, unit: unit, release: release, left: left}
	if left {
		unit.Leave()
		return ctx, w
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = d.clock.AfterFunc(halfCloseWindow, w.look)
	return ctx, w
}

// End ends the watch and reports whether the caller has left.
func (w *Watch) End() bool {
	if w == nil {
		return false
	}
	w.release()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	if w.timer != nil {
		w.timer.Stop()
	}
	return w.left
}

// look reads the state of the connection, and looks again later unless the caller has left.
func (w *Watch) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	state := netio.GetRemoteState(w.conn)
	if !w.looked {
		w.looked, w.halfClosed = true, state == netio.RemoteFinished
	}
	switch {
	case state == netio.RemoteReset:
		w.leave("reset")
	case state == netio.RemoteFinished && !w.halfClosed:
		w.leave("close")
	default:
		w.timer.Reset(departureInterval)
	}
}

// leave passes on that the caller has left. w.mu must be held.
func (w *Watch) leave(evidence string) {
	w.left = true
	stage := w.unit.Leave()
	w.departures.left.WithLabelValues(string(stage), evidence).Inc()
	w.departures.log.Debug("Caller left before its answer.", "stage", string(stage), "evidence", evidence)
}
