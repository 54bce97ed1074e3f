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
	config  Config
	parts   Parts
	network netio.Network
	clock   clock.Clock
	log     hclog.Logger
	access  *access
}

// New returns a server that has not begun to listen.
func New(c Config, p Parts, n netio.Network, k clock.Clock, log hclog.Logger) *Server {
	return &Server{config: c, parts: p, network: n, clock: k, log: log.Named("admin"), access: newAccess(c.Token)}
}

// Run listens and serves until ctx ends, then lets calls in flight finish.
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
		s.stop(server)
	}()
	s.log.Info("serving", "address", listener.Addr().String())
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	<-stopped
	return nil
}

// stop lets calls in flight finish within stopTimeout.
func (s *Server) stop(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		s.log.Warn("calls cut at shutdown", "error", err)
	}
}

// Handler returns the API as an http.Handler.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	for _, r := range s.routes() {
		mux.Handle(r.method+" "+r.path, s.wrap(r))
	}
	mux.HandleFunc("/", notFound)
	return mux
}

// wrap adds the guard and the time bound of a route.
func (s *Server) wrap(r route) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if r.changes {
			if err := s.access.allow(req); err != nil {
				s.log.Warn("refused a change", "path", req.URL.Path, "from", req.RemoteAddr)
				writeError(w, err)
				return
			}
		}
		ctx, cancel := context.WithTimeout(req.Context(), callTimeout)
		defer cancel()
		r.handle(w, req.WithContext(ctx))
	})
}
