package admission

import "github.com/prometheus/client_golang/prometheus"

// Metrics holds the metrics of an instance's controllers.
type Metrics struct {
	slots    *prometheus.GaugeVec
	running  *prometheus.GaugeVec
	waiting  *prometheus.GaugeVec
	inFlight *prometheus.GaugeVec
	admitted *prometheus.CounterVec
	refused  *prometheus.CounterVec
	wait     *prometheus.HistogramVec
}

// NewMetrics creates the metrics and registers them with r, which may be nil.
func NewMetrics(r prometheus.Registerer) *Metrics {
	group := []string{"group"}
	class := []string{"group", "class"}
	m := &Metrics{
		slots: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "topazrock_admission_slots",
			Help: "Slots that this instance may use.",
		}, group),
		running: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "topazrock_admission_running",
			Help: "Slots in use.",
		}, group),
		waiting: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "topazrock_admission_waiting",
			Help: "Requests that wait for a slot.",
		}, group),
		inFlight: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "topazrock_admission_in_flight",
			Help: "Requests that hold a slot and have no answer yet, at all members.",
		}, group),
		admitted: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_admission_admitted_total",
			Help: "Requests that got a slot.",
		}, class),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_admission_refusals_total",
			Help: "Requests that were refused, by result code.",
		}, []string{"group", "class", "code"}),
		wait: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "topazrock_admission_wait_seconds",
			Help:    "Time that admitted requests waited for a slot.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
		}, class),
	}
	if r != nil {
		r.MustRegister(m.slots, m.running, m.waiting, m.inFlight, m.admitted, m.refused, m.wait)
	}
	return m
}
