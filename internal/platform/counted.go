package platform

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"
)

// Verbs of calls, as values of a metric label.
const (
	verbGet       = "get"
	verbList      = "list"
	verbListStale = "list_stale"
	verbPut       = "put"
	verbDelete    = "delete"
	verbWatch     = "watch"
)

// Directions of transfer, as values of a metric label.
const (
	directionSent     = "sent"
	directionReceived = "received"
)

// InstrumentedAPI is an API that counts calls and the bytes of the values they transfer, by kind
// of object and verb.
type InstrumentedAPI struct {
	API
	calls *prometheus.CounterVec
	bytes *prometheus.CounterVec
	// revisions holds the revision of the last list of each kind.
	revisions *prometheus.GaugeVec
	era       prometheus.Gauge
}

// NewInstrumentedAPI wraps an API with counters and registers their metrics.
func NewInstrumentedAPI(a API, r prometheus.Registerer) *InstrumentedAPI {
	c := &InstrumentedAPI{
		API: a,
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_platform_calls_total",
			Help: "Calls to the platform's object API.",
		}, []string{"kind", "verb"}),
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_platform_bytes_total",
			Help: "Bytes of the values of objects that went to the platform's object API and came from it.",
		}, []string{"kind", "verb", "direction"}),
		revisions: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "topazrock_platform_revision",
			Help: "Revision of the last list from the platform's object API, within the era of its store.",
		}, []string{"kind"}),
		era: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "topazrock_platform_era",
			Help: "Latest era of the platform's store that this instance has seen. It rises when the store returns from an older copy.",
		}),
	}
	r.MustRegister(c.calls, c.bytes, c.revisions, c.era)
	if a != nil {
		a.Eras().Subscribe(func(_, latest int64) { c.era.Set(float64(latest)) })
	}
	return c
}

func (c *InstrumentedAPI) countCall(kind Kind, verb string) {
	c.calls.WithLabelValues(string(kind), verb).Inc()
}

func (c *InstrumentedAPI) countReceived(kind Kind, verb string, objects ...Object) {
	size := 0
	for _, o := range objects {
		size += len(o.Name) + len(o.Value)
	}
	c.bytes.WithLabelValues(string(kind), verb, directionReceived).Add(float64(size))
}

func (c *InstrumentedAPI) recordRevision(kind Kind, revision Revision, err error) {
	if err == nil {
		c.revisions.WithLabelValues(string(kind)).Set(float64(revision.Number()))
	}
}

// Get implements API.
func (c *InstrumentedAPI) Get(ctx context.Context, kind Kind, name string) (Object, error) {
	c.countCall(kind, verbGet)
	o, err := c.API.Get(ctx, kind, name)
	c.countReceived(kind, verbGet, o)
	return o, err
}

// List implements API.
func (c *InstrumentedAPI) List(ctx context.Context, kind Kind) ([]Object, Revision, error) {
	c.countCall(kind, verbList)
	all, revision, err := c.API.List(ctx, kind)
	c.countReceived(kind, verbList, all...)
	c.recordRevision(kind, revision, err)
	return all, revision, err
}

// ListStale implements API.
func (c *InstrumentedAPI) ListStale(ctx context.Context, kind Kind) ([]Object, Revision, error) {
	c.countCall(kind, verbListStale)
	all, revision, err := c.API.ListStale(ctx, kind)
	c.countReceived(kind, verbListStale, all...)
	c.recordRevision(kind, revision, err)
	return all, revision, err
}

// Put implements API.
func (c *InstrumentedAPI) Put(ctx context.Context, kind Kind, name string, value []byte, ifVersion Revision) (Object, error) {
	c.countCall(kind, verbPut)
	c.bytes.WithLabelValues(string(kind), verbPut, directionSent).Add(float64(len(value)))
	return c.API.Put(ctx, kind, name, value, ifVersion)
}

// Delete implements API.
func (c *InstrumentedAPI) Delete(ctx context.Context, kind Kind, name string, ifVersion Revision) error {
	c.countCall(kind, verbDelete)
	return c.API.Delete(ctx, kind, name, ifVersion)
}

// Watch implements API.
func (c *InstrumentedAPI) Watch(ctx context.Context, kind Kind, after Revision) ([]Object, Revision, error) {
	c.countCall(kind, verbWatch)
	changed, revision, err := c.API.Watch(ctx, kind, after)
	c.countReceived(kind, verbWatch, changed...)
	return changed, revision, err
}
