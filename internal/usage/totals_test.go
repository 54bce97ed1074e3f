package usage

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/topazrock/topazrock/internal/clock"
)

// Guards against reports that grow with the number of methods, and against totals that are shown
// in place of what the interval added.
func TestReportShowsTheLargestCountersOfTheInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		registry := prometheus.NewRegistry()
		calls := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "topazrock_peer_calls_total"}, []string{"method"})
		other := prometheus.NewCounter(prometheus.CounterOpts{Name: "topazrock_other_total"})
		registry.MustRegister(calls, other)
		calls.WithLabelValues("before").Add(9)
		var log strings.Builder
		r := New(Config{Gatherer: registry, Roles: func() []string { return []string{"reader", "home of 2"} },
			Clock: clock.System{}, Log: hclog.New(&hclog.LoggerOptions{Output: &log, Level: hclog.Info, JSONFormat: true})})
		ctx, cancel := context.WithCancel(t.Context())
		go r.Run(ctx)
		synctest.Wait()
		other.Add(5)
		for n, method := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			calls.WithLabelValues(method).Add(float64(10 - n))
		}
		_ = clock.Sleep(ctx, clock.System{}, reportInterval+reportInterval/2)
		cancel()
		synctest.Wait()
		is.Equal(strings.Count(log.String(), MessageReport), 1)
		is.True(strings.Contains(log.String(), `"calls":"a 10; b 9; c 8; d 7; e 6; f 5; others 7"`))
		is.True(strings.Contains(log.String(), `"roles":"reader,home of 2"`))
		is.True(!strings.Contains(log.String(), "before"))
	})
}
