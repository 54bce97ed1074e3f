package peer

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync"

	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/jsonrpc2"
	"github.com/topazrock/topazrock/internal/result"
)

// Server handles the calls of peers.
//
// Lock order: Server.mu is never held together with another lock.
type Server struct {
	// Metrics counts the calls; nil disables it. It must be set before Serve.
	Metrics *Metrics

	logger hclog.Logger

	mu       sync.Mutex
	handlers map[string]Handler
	conns    map[*jsonrpc2.Conn]struct{}
	closed   bool
}

// NewServer returns a Server without handlers.
func NewServer(logger hclog.Logger) *Server {
	return &Server{
		logger:   logger.Named("peer"),
		handlers: make(map[string]Handler),
		conns:    make(map[*jsonrpc2.Conn]struct{}),
	}
}

// Handle implements HandlerRegistry.
func (s *Server) Handle(method string, h Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handlers[method] = h
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		s.addConn(conn)
	}
}

func (s *Server) addConn(conn net.Conn) {
	handler := jsonrpc2.HandlerWithError(s.handleRequest)
	handler.SuppressErrClosed()
	c := jsonrpc2.NewConn(context.Background(), newObjectStream(writeDeadlineConn{conn}), jsonrpc2.AsyncHandler(handler), discardLog)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		go c.Close()
		return
	}
	s.conns[c] = struct{}{}
	go s.removeWhenClosed(c)
}

func (s *Server) removeWhenClosed(c *jsonrpc2.Conn) {
	<-c.DisconnectNotify()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Close closes the connections of all peers.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	conns := s.conns
	s.conns = make(map[*jsonrpc2.Conn]struct{})
	s.mu.Unlock()
	for c := range conns {
		c.Close()
	}
}

// envelope is the params object of every call.
type envelope struct {
	From   string          `json:"from"`
	Params json.RawMessage `json:"params"`
}

func (s *Server) handleRequest(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	s.mu.Lock()
	h := s.handlers[r.Method]
	s.mu.Unlock()
	if h == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}
	}
	var e envelope
	if r.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no parameters"}
	}
	if err := json.Unmarshal(*r.Params, &e); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	s.Metrics.countServed(r.Method)
	reply, err := h(ctx, e.From, e.Params)
	if err != nil {
		return nil, encodeError(err)
	}
	return reply, nil
}

// encodeError preserves the result code of an error in transit between instances.
func encodeError(err error) *jsonrpc2.Error {
	e, ok := result.As(err)
	if !ok {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
	}
	rpcErr := &jsonrpc2.Error{Code: int64(e.Code), Message: errorDetail(e)}
	rpcErr.SetError(int64(e.RetryAfter))
	return rpcErr
}

func errorDetail(e *result.Error) string {
	if e.Cause == nil {
		return e.Detail
	}
	return e.Detail + ": " + e.Cause.Error()
}
