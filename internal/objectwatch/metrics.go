package objectwatch

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/topazrock/topazrock/internal/platform"
)

// Contents of a response to another instance, as values of a metric label.
const (
	contentList    = "list"
	contentChanges = "changes"
)

// Metrics counts what keeps followers from being up to date, and what other instances are sent, by
// kind of object.
type Metrics struct {
	ignoredLists *prometheus.CounterVec
	compactions  *prometheus.CounterVec
	servedBytes  *prometheus.CounterVec
	failedChecks *prometheus.CounterVec
	checked      *prometheus.GaugeVec
	// unusableObjects counts objects that a sink could not use.
	unusableObjects *prometheus.CounterVec
}

// NewMetrics creates the metrics and registers them with r unless r is nil.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		ignoredLists: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_watch_ignored_lists_total",
			Help: "Lists of objects that were older than what this instance had already applied.",
		}, []string{"kind"}),
		compactions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_watch_compacted_total",
			Help: "Watches that could not resume from their revision, so that the objects were listed again.",
		}, []string{"kind"}),
		servedBytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_watch_served_bytes_total",
			Help: "Bytes of encoded objects that were sent to other instances.",
		}, []string{"kind", "content"}),
		failedChecks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_watch_failed_checks_total",
			Help: "Lists beside the watch that were not answered. Until the next one, a change that the watch misses stays unknown.",
		}, []string{"kind"}),
		checked: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "topazrock_watch_checked_timestamp_seconds",
			Help: "When the latest list beside the watch that was answered was requested, in Unix seconds.",
		}, []string{"kind"}),
		unusableObjects: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_watch_unusable_objects_total",
			Help: "Revisions of objects that could not be used, such as an entry that another writer has left.",
		}, []string{"kind"}),
	}
	if r != nil {
		r.MustRegister(m.ignoredLists, m.compactions, m.servedBytes, m.failedChecks, m.checked, m.unusableObjects)
	}
	return m
}

// countServed counts the bytes of a response to a request.
func (m *Metrics) countServed(req request, from platform.Revision, bytes int) {
	content := contentChanges
	if from == fullList {
		content = contentList
	}
	m.servedBytes.WithLabelValues(string(req.Kind), content).Add(float64(bytes))
}

// setChecked records the request time of a check that was answered.
func (m *Metrics) setChecked(kind platform.Kind, requestedAt time.Time) {
	m.checked.WithLabelValues(string(kind)).Set(float64(requestedAt.UnixMilli()) / 1000)
}
