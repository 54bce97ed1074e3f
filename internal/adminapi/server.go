package adminapi

import (
	"context"
	"errors"
	"net/http"

	"github.com/hashicorp/go-hclog"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/netio"
)

// Server serves the administration API of one instance.
type Server struct {
	config        Config
	dependencies  Dependencies
	network       netio.Network
	clock         clock.Clock
	log           hclog.Logger
	accessControl *accessControl
}

// New returns a server; it listens once Run is called.
func New(c Config, d Dependencies, n netio.Network, clk clock.Clock, log hclog.Logger) *Server {
	return &Server{config: c, dependencies: d, network: n, clock: clk, log: log.Named("admin"), accessControl: newAccessControl(c.Token)}
}

// Run serves requests until ctx ends, then waits for running requests to finish,
// for at most shutdownTimeout.
func (s *Server) Run(ctx context.Context) error {
	listener, err := s.network.Listen(s.config.Address)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		<-ctx.Done()
		s.shutdown(server)
	}()
	s.log.Info("serving", "address", listener.Addr().String())
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	<-stopped
	return nil
}

// shutdown waits for running requests to finish, for at most shutdownTimeout.
func (s *Server) shutdown(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		s.log.Warn("Shutdown timed out before all running requests finished.", "error", err)
	}
}

// Handler returns the API as an http.Handler.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	for _, r := range s.routes() {
		mux.Handle(r.method+" "+r.path, s.handlerFor(r))
	}
	mux.HandleFunc("/", notFound)
	return mux
}

// handlerFor returns the route's handler with access control and a time limit.
func (s *Server) handlerFor(r route) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if r.mutating {
			if err := s.accessControl.authorizeChange(req); err != nil {
				s.log.Warn("Change request denied.", "path", req.URL.Path, "from", req.RemoteAddr)
				writeError(w, err)
				return
			}
		}
		ctx, cancel := context.WithTimeout(req.Context(), requestTimeout)
		defer cancel()
		r.handler(w, req.WithContext(ctx))
	})
}
