package admission

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/topazrock/topazrock/internal/result"
	"github.com/topazrock/topazrock/internal/waitlist"
)

// Controller is the Gate of one group on one instance.
type Controller struct {
	cfg          Config
	log          hclog.Logger
	runningGauge prometheus.Gauge
	waitingGauge prometheus.Gauge
	slotsGauge   prometheus.Gauge
	// inFlightGauge is shared with the other gates of the group.
	inFlightGauge prometheus.Gauge

	mu    sync.Mutex
	slots int
	inUse map[*Slot]struct{}
	// inFlight counts the slots whose requests are not answered yet. concurrency bounds it.
	inFlight     int
	concurrency  concurrencyLimit
	classes      map[string]*class
	queue        waitlist.List[*waiter]
	arrivalCount uint64
	// queuedGrants counts the slots granted to waiters from the queue.
	queuedGrants uint64
	draining     bool
	// fairOrder is set once cfg.FairOrder returned true. fairness holds the accounts.
	fairOrder bool
	fairness  fairness
	// invalidWeightLogged is set once an invalid weight was logged.
	invalidWeightLogged bool
	// released is notified whenever a slot is released or a wait is canceled.
	released *waitlist.Signal
}

var _ Gate = (*Controller)(nil)

// New returns a Controller with all slots free. In the fair order it sends one request at a time
// at first.
func New(cfg Config) *Controller {
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	if cfg.Metrics == nil {
		cfg.Metrics = NewMetrics(nil)
	}
	c := &Controller{
		cfg:           cfg,
		log:           cfg.Logger.Named("admission"),
		runningGauge:  cfg.Metrics.running.WithLabelValues(cfg.Group),
		waitingGauge:  cfg.Metrics.waiting.WithLabelValues(cfg.Group),
		slotsGauge:    cfg.Metrics.slots.WithLabelValues(cfg.Group),
		inFlightGauge: cfg.Metrics.inFlight.WithLabelValues(cfg.Group),
		slots:         max(cfg.Slots, 0),
		inUse:         make(map[*Slot]struct{}),
		classes:       make(map[string]*class),
		queue:         waitlist.New((*waiter).before),
		released:      waitlist.NewSignal(),
	}
	c.slotsGauge.Set(float64(c.slots))
	c.concurrency = newConcurrencyLimit(cfg.Adaptive, c.slots)
	if cfg.FairOrder != nil && cfg.FairOrder() {
		c.concurrency.startLow()
	}
	return c
}

// Stats returns the current counts.
func (c *Controller) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Stats{Slots: c.slots, Running: len(c.inUse), Waiting: c.queue.Len()}
}

// SetSlots changes the number of slots. Requests that already run are not interrupted when
// the number is lowered; WaitWithinLimit waits until enough of them have ended.
func (c *Controller) SetSlots(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slots = max(n, 0)
	c.concurrency.setUpperBound(c.slots)
	c.slotsGauge.Set(float64(c.slots))
	c.dispatch()
}

// WaitWithinLimit waits until no more requests run than there are slots.
func (c *Controller) WaitWithinLimit(ctx context.Context) error {
	return c.released.Wait(ctx, &c.mu, func() bool { return len(c.inUse) <= c.slots })
}

// Drain refuses new requests and waits until all running and waiting requests have ended.
func (c *Controller) Drain(ctx context.Context) error {
	c.mu.Lock()
	c.draining = true
	c.mu.Unlock()
	return c.released.Wait(ctx, &c.mu, func() bool { return len(c.inUse)+c.queue.Len() == 0 })
}

// classState returns the state of a class and creates it on first use.
func (c *Controller) classState(name string) *class {
	state, ok := c.classes[name]
	if !ok {
		state = &class{
			name:     name,
			admitted: c.cfg.Metrics.admitted.WithLabelValues(c.cfg.Group, name),
			waitTime: c.cfg.Metrics.wait.WithLabelValues(c.cfg.Group, name),
		}
		c.classes[name] = state
	}
	return state
}

// newRefusal returns an error with a retry-after of at least d. Jitter adds up to half of
// it, so that callers refused together do not retry together.
func (c *Controller) newRefusal(code result.Code, state *class, d time.Duration) *result.Error {
	return c.newSpreadRefusal(code, state, d, 0)
}

// newSpreadRefusal is newRefusal with a jitter of at least the given spread.
func (c *Controller) newSpreadRefusal(code result.Code, state *class, d, spread time.Duration) *result.Error {
	d = max(d, minRetryAfter)
	d += time.Duration(c.cfg.Rand.Int64N(int64(max(d/2, spread)) + 1))
	c.cfg.Metrics.refused.WithLabelValues(c.cfg.Group, state.name, code.Label()).Inc()
	return result.New(code, "group %s, class %s", c.cfg.Group, state.name).WithRetryAfter(d)
}
