package instance

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// listenerTimeout bounds reading a request and writing its response.
const listenerTimeout = 5 * time.Second

// serveReadiness answers the balancer's readiness probe on a separate listener, at any
// path, until ctx ends.
func (n *Instance) serveReadiness(ctx context.Context) {
	n.serveHTTP(ctx, n.options.Settings.Ready.Address, http.HandlerFunc(n.handleReadiness))
}

// serveMetrics serves the metrics on a separate listener, at any path, until ctx ends.
func (n *Instance) serveMetrics(ctx context.Context) {
	n.serveHTTP(ctx, n.options.Settings.Metrics.Address, promhttp.HandlerFor(n.options.Registry, promhttp.HandlerOpts{}))
}

// serveHTTP serves one handler at an address, if one is configured. If the address is in
// use the instance runs without it.
func (n *Instance) serveHTTP(ctx context.Context, address string, h http.Handler) {
	if address == "" {
		return
	}
	listener, err := n.options.Network.Listen(address)
	if err != nil {
		n.options.Logger.Error("Opening a listener failed.", "address", address, "error", err)
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
