package peer

import "github.com/prometheus/client_golang/prometheus"

// Directions of transfer, as values of a metric label.
const (
	directionSent     = "sent"
	directionReceived = "received"
)

// Metrics counts an instance's calls to peers and their bytes, and the calls that it serves, by
// method. A nil Metrics counts nothing.
type Metrics struct {
	calls  *prometheus.CounterVec
	bytes  *prometheus.CounterVec
	served *prometheus.CounterVec
}

// NewMetrics creates and registers the metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_peer_calls_total",
			Help: "Calls to peers that were sent.",
		}, []string{"method"}),
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_peer_bytes_total",
			Help: "Bytes of the parameters and answers of calls to peers.",
		}, []string{"method", "direction"}),
		served: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_peer_served_calls_total",
			Help: "Calls of peers that were served.",
		}, []string{"method"}),
	}
	r.MustRegister(m.calls, m.bytes, m.served)
	return m
}

func (m *Metrics) countSent(method string, bytes int) {
	if m == nil {
		return
	}
	m.calls.WithLabelValues(method).Inc()
	m.bytes.WithLabelValues(method, directionSent).Add(float64(bytes))
}

func (m *Metrics) countReceived(method string, bytes int) {
	if m == nil {
		return
	}
	m.bytes.WithLabelValues(method, directionReceived).Add(float64(bytes))
}

func (m *Metrics) countServed(method string) {
	if m == nil {
		return
	}
	m.served.WithLabelValues(method).Inc()
}
