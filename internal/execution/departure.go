package execution

import (
	"context"
	"sync"

	"github.com/topazrock/topazrock/internal/result"
)

// Stage is the progress of a unit. Its value is the label of metrics.
type Stage string

// Stages.
const (
	// StageWaiting means that nothing of the unit was sent.
	StageWaiting Stage = "waiting"
	// StageRunning means that the unit may have been sent to a member.
	StageRunning Stage = "running"
	// StageForwarded means that the unit was sent to another instance.
	StageForwarded Stage = "forwarded"
)

// ErrCallerLeft is the error of a unit that was not sent because its caller had left. It is also the
// cause of the unit's context when the wait of such a unit ends.
var ErrCallerLeft = result.New(result.CallerLeft, "")

// Departure reports that a unit's caller has left to what the unit waits for. The context
// of the unit ends only while the unit waits: a unit that was sent runs to its end, and its outcome
// is confirmed as for a caller that stayed. A nil Departure never reports that the caller left.
//
// Lock order: Departure.mu alone; notify is called without it.
type Departure struct {
	cancel context.CancelCauseFunc

	mu   sync.Mutex
	left bool
	// holds counts the Hold calls without a Resume. While it is above zero the context does not end.
	holds int
	stage Stage
	// id names the unit to the instance that it was forwarded to; notify tells that instance.
	id     string
	notify func()
}

// departureKey is the key of the Departure in a context.
type departureKey struct{}

// WithDeparture returns a context for one unit and its Departure. id is the departure ID that the
// entry instance gave the unit; empty if this is the entry instance. release must be called when the
// unit has ended.
func WithDeparture(parent context.Context, id string) (ctx context.Context, d *Departure, release func()) {
	ctx, cancel := context.WithCancelCause(parent)
	d = &Departure{cancel: cancel, stage: StageWaiting, id: id}
	return context.WithValue(ctx, departureKey{}, d), d, func() { cancel(nil) }
}

// DepartureOf returns the Departure of the unit that runs in ctx, or nil.
func DepartureOf(ctx context.Context) *Departure {
	d, _ := ctx.Value(departureKey{}).(*Departure)
	return d
}

// Leave records that the caller has left, and returns the stage at which that found the unit.
func (d *Departure) Leave() Stage {
	d.mu.Lock()
	d.left = true
	stage, notify := d.stage, d.notify
	d.notify = nil
	if d.holds == 0 {
		d.cancel(ErrCallerLeft)
	}
	d.mu.Unlock()
	if notify != nil {
		notify()
	}
	return stage
}

// Left reports whether the caller has left.
func (d *Departure) Left() bool {
	if d == nil {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.left
}

// Hold begins a step that must not be cut short. It returns false if the caller has left; the step
// must not begin then.
func (d *Departure) Hold(s Stage) bool {
	if d == nil {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.left {
		return false
	}
	d.holds++
	d.stage = s
	return true
}

// Resume ends the step that Hold began. The unit waits again, and its context ends if the caller
// has left meanwhile. A step that may have taken effect is never ended by Resume.
func (d *Departure) Resume() {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.holds = max(d.holds-1, 0)
	if d.holds > 0 {
		return
	}
	d.stage = StageWaiting
	if d.left {
		d.cancel(ErrCallerLeft)
	}
}

// ResumeAll is Resume for all steps that Hold began. It is called before a unit that did not run,
// or only reads, is sent again.
func (d *Departure) ResumeAll() {
	if d == nil {
		return
	}
	d.mu.Lock()
	d.holds = 0
	d.mu.Unlock()
	d.Resume()
}

// Forward is Hold for a unit that is sent to another instance. notify is called once if the caller
// leaves before Forwarded. newID returns a departure ID if the unit has none; Forward returns the ID.
func (d *Departure) Forward(newID func() string, notify func(id string)) (id string, ok bool) {
	if d == nil {
		return "", true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.left {
		return "", false
	}
	d.holds++
	d.stage = StageForwarded
	if d.id == "" {
		d.id = newID()
	}
	id = d.id
	d.notify = func() { notify(id) }
	return id, true
}

// Forwarded ends what Forward began. The other instance has answered, or is not waited for any more.
func (d *Departure) Forwarded() {
	if d == nil {
		return
	}
	d.mu.Lock()
	d.notify = nil
	d.mu.Unlock()
	d.Resume()
}
