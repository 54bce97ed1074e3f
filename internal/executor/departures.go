package executor

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/result"
)

// methodLeft tells a home that the caller of a unit has left.
const methodLeft = "unit.left"

const (
	// earlyNoticeLifetime is how long a notice that names no unit is kept for a unit that it has
	// overtaken: as long as a call may be on its way.
	earlyNoticeLifetime = notifyTimeout
	// maxEarlyNotices bounds the kept notices. A notice that is not kept lets its unit run.
	maxEarlyNotices = 4096
	// maxDepartureID is the longest departure ID in bytes, several times what instances use.
	maxDepartureID = 128
)

// Values of the metric label for what a notice found, besides the stages of units.
const (
	noticeWithoutUnit = "no_unit"
	noticeInvalid     = "invalid"
)

// departures holds the units of peers whose callers may leave. Its state is lost with the process and
// needs no agreement: a notice that is late, lost or of an earlier process names no unit, and its
// unit runs to its end.
type departures struct {
	// ids issues the departure IDs of this instance's units.
	ids *execution.IDSequence

	mu    sync.Mutex
	units map[string]*execution.Departure
	// early holds when notices arrived that named no unit.
	early map[string]time.Time
}

func newDepartures() *departures {
	return &departures{ids: execution.NewIDSequence(), units: make(map[string]*execution.Departure), early: make(map[string]time.Time)}
}

// begin returns the context of a peer's unit. end must be called when the unit has ended. Without an
// ID, the unit's caller is not known to leave.
func (d *departures) begin(parent context.Context, id string, now time.Time) (ctx context.Context, end func()) {
	if id == "" || len(id) > maxDepartureID {
		return parent, func() {}
	}
	ctx, unit, release := execution.WithDeparture(parent, id)
	d.mu.Lock()
	defer d.mu.Unlock()
	arrived, overtaken := d.early[id]
	delete(d.early, id)
	if overtaken && now.Sub(arrived) <= earlyNoticeLifetime {
		unit.Leave()
	}
	d.units[id] = unit
	return ctx, func() {
		d.mu.Lock()
		delete(d.units, id)
		d.mu.Unlock()
		release()
	}
}

// leave passes on that the caller of a unit has left, and returns what the notice found.
func (d *departures) leave(id string, now time.Time) string {
	d.mu.Lock()
	unit := d.units[id]
	if unit == nil {
		d.keepEarly(id, now)
	}
	d.mu.Unlock()
	if unit == nil {
		return noticeWithoutUnit
	}
	return string(unit.Leave())
}

// keepEarly keeps a notice that names no unit. d.mu must be held.
func (d *departures) keepEarly(id string, now time.Time) {
	if len(d.early) >= maxEarlyNotices {
		for other, arrived := range d.early {
			if now.Sub(arrived) > earlyNoticeLifetime {
				delete(d.early, other)
			}
		}
	}
	if len(d.early) < maxEarlyNotices {
		d.early[id] = now
	}
}

func (r *Router) serveLeft(_ context.Context, from string, params json.RawMessage) (any, error) {
	var ref objectRef
	if err := json.Unmarshal(params, &ref); err != nil || ref.ID == "" || len(ref.ID) > maxDepartureID {
		r.metrics.countDepartureNotice(noticeInvalid)
		return nil, result.New(result.ProtocolViolation, "departure notice of instance %s", from).WithCause(err)
	}
	r.metrics.countDepartureNotice(r.departures.leave(ref.ID, r.clock.Now()))
	return nil, nil
}

// callerLeft reports whether a unit was not sent because its caller had left.
func callerLeft(err error) bool {
	e, ok := result.As(err)
	return ok && e.Code == result.CallerLeft
}

// departureError returns the error of a unit that did not run: that its caller left, if that ended
// a wait of the unit, and otherwise err.
func departureError(ctx context.Context, err error) error {
	cause, ok := result.FromCause(ctx)
	if !ok || !errors.Is(cause, execution.ErrCallerLeft) {
		return err
	}
	if e, ok := result.As(err); ok && e.Code.Family() == result.FamilyDidNotRun {
		return cause
	}
	return err
}
