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
	// fairRefused and fairWait count requests by whether their workspace was above its share.
	fairRefused    *prometheus.CounterVec
	fairWait       *prometheus.HistogramVec
	invalidWeights *prometheus.CounterVec
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
		fairRefused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_admission_share_refusals_total",
			Help: "Requests refused in the fair order, by result code and by whether their workspace was above its share.",
		}, []string{"group", "code", "share"}),
		fairWait: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "topazrock_admission_share_wait_seconds",
			Help:    "Time that requests admitted from the queue in the fair order waited, by whether their workspace was above its share.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
		}, []string{"group", "share"}),
		invalidWeights: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_admission_invalid_weights_total",
			Help: "Requests whose workspace has an invalid weight, which counts as 1.",
		}, []string{"group"}),
	}
	if r != nil {
		r.MustRegister(m.slots, m.running, m.waiting, m.inFlight, m.admitted, m.refused, m.wait, m.fairRefused, m.fairWait, m.invalidWeights)
	}
	return m
}

// shareLabel returns the label of a workspace's use of its share.
func shareLabel(above bool) string {
	if above {
		return "above"
	}
	return "within"
}
