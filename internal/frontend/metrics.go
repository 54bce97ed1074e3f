package frontend

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/topazrock/topazrock/internal/result"
)

// Metrics are the metrics of callers' connections.
type Metrics struct {
	callers       prometheus.Gauge
	callerErrors  *prometheus.CounterVec
	stalledWrites prometheus.Counter
	cancels       prometheus.Counter
}

// NewMetrics registers the package's metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		callers: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "topazrock_callers",
			Help: "Callers that are connected.",
		}),
		callerErrors: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_caller_errors_total",
			Help: "Result codes sent to callers, by code.",
		}, []string{"code"}),
		stalledWrites: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "topazrock_stalled_writes_total",
			Help: "Sessions cut off because the caller took nothing of its answer.",
		}),
		cancels: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "topazrock_cancels_total",
			Help: "Cancel requests that named a session of this instance.",
		}),
	}
	r.MustRegister(m.callers, m.callerErrors, m.stalledWrites, m.cancels)
	return m
}

func (m *Metrics) countError(e *result.Error) {
	if e != nil {
		m.callerErrors.WithLabelValues(e.Code.Label()).Inc()
	}
}
