package instance

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// listenerTimeout bounds the reading of one probe and the writing of its answer.
const listenerTimeout = 5 * time.Second

// serveReadiness answers the balancer's probe on a listener of its own, whatever path
// it asks for, until ctx ends.
func (n *Instance) serveReadiness(ctx context.Context) {
	n.serveHTTP(ctx, n.options.Settings.Ready.Address, http.HandlerFunc(n.handleReadiness))
}

// serveMetrics serves the metrics on a listener of their own, whatever path is asked
// for, until ctx ends.
func (n *Instance) serveMetrics(ctx context.Context) {
	n.serveHTTP(ctx, n.options.Settings.Metrics.Address, promhttp.HandlerFor(n.options.Registry, promhttp.HandlerOpts{}))
}

// serveHTTP serves one handler at an address, if there is one. The instance goes on
// without it if the address is taken.
func (n *Instance) serveHTTP(ctx context.Context, address string, h http.Handler) {
	if address == "" {
		return
	}
	listener, err := n.options.Network.Listen(address)
	if err != nil {
		n.options.Logger.Error("Listener was not opened.", "address", address, "error", err)
		return
	}
	server := &http.Server{Handler: h, ReadTimeout: listenerTimeout, WriteTimeout: listenerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	_ = server.Serve(listener)
}

func (n *Instance) handleReadiness(w http.ResponseWriter, _ *http.Request) {
	ready, reasons := adminLifecycle{n}.Ready()
	if ready {
		return
	}
	n.options.Logger.Debug("Not ready.", "reasons", reasons)
	w.WriteHeader(http.StatusServiceUnavailable)
}
