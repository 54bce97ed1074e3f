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
	cfg     Config
	log     hclog.Logger
	running prometheus.Gauge
	waits   prometheus.Gauge
	slotsUp prometheus.Gauge

	mu    sync.Mutex
	slots int
	inUse map[*Slot]struct{}
	// working counts the slots whose requests have no answer yet, and limit bounds
	// them.
	working  int
	limit    inFlight
	classes  map[string]*class
	waiting  waitlist.List[*waiter]
	arrivals uint64
	// contended counts the slots given to waiters.
	contended uint64
	draining  bool
	// changed is notified whenever a slot is given back.
	changed *waitlist.Signal
}

var _ Gate = (*Controller)(nil)

// New returns a Controller with no request in it.
func New(cfg Config) *Controller {
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	if cfg.Metrics == nil {
		cfg.Metrics = NewMetrics(nil)
	}
	c := &Controller{
		cfg:     cfg,
		log:     cfg.Logger.Named("admission"),
		running: cfg.Metrics.running.WithLabelValues(cfg.Group),
		waits:   cfg.Metrics.waiting.WithLabelValues(cfg.Group),
		slotsUp: cfg.Metrics.slots.WithLabelValues(cfg.Group),
		slots:   max(cfg.Slots, 0),
		inUse:   make(map[*Slot]struct{}),
		classes: make(map[string]*class),
		waiting: waitlist.New((*waiter).before),
		changed: waitlist.NewSignal(),
	}
	c.slotsUp.Set(float64(c.slots))
	c.limit = newInFlight(cfg.Adaptive, c.slots)
	return c
}

// Stats returns the present counts.
func (c *Controller) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Stats{Slots: c.slots, Running: len(c.inUse), Waiting: c.waiting.Len()}
}

// SetSlots changes the number of slots. What runs past a lower number goes on
// to its end; Settle tells when that is done.
func (c *Controller) SetSlots(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slots = max(n, 0)
	c.limit.setMost(c.slots)
	c.slotsUp.Set(float64(c.slots))
	c.dispatch()
}

// Settle waits until no more requests run than there are slots.
func (c *Controller) Settle(ctx context.Context) error {
	return c.changed.Wait(ctx, &c.mu, func() bool { return len(c.inUse) <= c.slots })
}

// Drain refuses new requests and waits until those that run or wait have ended.
func (c *Controller) Drain(ctx context.Context) error {
	c.mu.Lock()
	c.draining = true
	c.mu.Unlock()
	return c.changed.Wait(ctx, &c.mu, func() bool { return len(c.inUse)+c.waiting.Len() == 0 })
}

// class returns the state kept for a class.
func (c *Controller) class(name string) *class {
	k, ok := c.classes[name]
	if !ok {
		k = &class{
			name:     name,
			admitted: c.cfg.Metrics.admitted.WithLabelValues(c.cfg.Group, name),
			wait:     c.cfg.Metrics.wait.WithLabelValues(c.cfg.Group, name),
		}
		c.classes[name] = k
	}
	return k
}

// refusal returns an error with a retry-after around d. It is jittered upward,
// so that callers refused together do not come back together.
func (c *Controller) refusal(code result.Code, k *class, d time.Duration) *result.Error {
	d = max(d, minRetryAfter)
	d += time.Duration(c.cfg.Rand.Int64N(int64(d)/2 + 1))
	c.cfg.Metrics.refused.WithLabelValues(c.cfg.Group, k.name, code.Label()).Inc()
	return result.New(code, "group %s, class %s", c.cfg.Group, k.name).WithRetryAfter(d)
}
