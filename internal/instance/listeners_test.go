package instance

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/topazrock/topazrock/internal/settings"
	"github.com/topazrock/topazrock/internal/standin/memnet"
)

// A metrics collector uses the same port for all instances and gets the metrics at any
// path. An instance whose port is in use runs without them.
func TestMetricsOnSeparateListener(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := memnet.New()
		registry := prometheus.NewRegistry()
		registry.MustRegister(prometheus.NewCounter(prometheus.CounterOpts{Name: "topazrock_test_total", Help: "A test."}))
		n := &Instance{options: Options{
			Network: network.Host("10.0.0.1"), Registry: registry, Logger: hclog.NewNullLogger(),
			Settings: &settings.Settings{Metrics: settings.Metrics{Address: "10.0.0.1:9464"}},
		}}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			n.serveMetrics(ctx)
		}()
		synctest.Wait()
		transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return network.Host("10.0.0.2").Dial(ctx, address)
		}}
		answer, err := (&http.Client{Transport: transport}).Get("http://10.0.0.1:9464/any")
		is.NoErr(err)
		text, err := io.ReadAll(answer.Body)
		is.NoErr(err)
		is.NoErr(answer.Body.Close())
		is.True(strings.Contains(string(text), "topazrock_test_total 0"))
		n.serveMetrics(ctx) // the port is in use: it returns immediately
		cancel()
		<-ended
	})
}
