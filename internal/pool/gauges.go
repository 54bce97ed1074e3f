package pool

import "github.com/prometheus/client_golang/prometheus"

// gauges exports the Stats of one pool.
type gauges struct {
	limit, idle, inUse, opening, probing, closing, waiting prometheus.Gauge
}

// gaugesFor returns the gauges of a group. The label lookup is done once, because the
// gauges are set on each Acquire and Release.
func (m *Metrics) gaugesFor(group string) gauges {
	with := func(state string) prometheus.Gauge {
		return m.connections.WithLabelValues(group, state)
	}
	return gauges{
		limit:   with("limit"),
		idle:    with("idle"),
		inUse:   with("in_use"),
		opening: with("opening"),
		probing: with("probing"),
		closing: with("closing"),
		waiting: with("waiters"),
	}
}

func (g *gauges) set(s Stats) {
	g.limit.Set(float64(s.Limit))
	g.idle.Set(float64(s.Idle))
	g.inUse.Set(float64(s.InUse))
	g.opening.Set(float64(s.Opening))
	g.probing.Set(float64(s.Probing))
	g.closing.Set(float64(s.Closing))
	g.waiting.Set(float64(s.Waiting))
}
