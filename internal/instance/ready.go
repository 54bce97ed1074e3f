package instance

import (
	"context"
	"net/http"
	"time"
)

// readyTimeout bounds the reading of one probe and the writing of its answer.
const readyTimeout = 5 * time.Second

// serveReady answers the balancer's probe on a listener of its own, whatever path
// it asks for, until ctx ends.
func (n *Instance) serveReady(ctx context.Context) {
	address := n.options.Settings.Ready.Address
	if address == "" {
		return
	}
	listener, err := n.options.Network.Listen(address)
	if err != nil {
		n.options.Logger.Error("Readiness probe is not answered.", "address", address, "error", err)
		return
	}
	server := &http.Server{Handler: http.HandlerFunc(n.answerProbe), ReadTimeout: readyTimeout, WriteTimeout: readyTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	_ = server.Serve(listener)
}

func (n *Instance) answerProbe(w http.ResponseWriter, _ *http.Request) {
	ready, reasons := adminLifecycle{n}.Ready()
	if ready {
		return
	}
	n.options.Logger.Debug("Not ready.", "reasons", reasons)
	w.WriteHeader(http.StatusServiceUnavailable)
}
