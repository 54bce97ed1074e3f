package slopes

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/document"
	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/frontend"
)

const (
	callerUser     = "caller"
	callerPassword = "measured"
	callerGroup    = "measured-1"
	// loginsAtOnce bounds the logins under way, each of which costs a SCRAM exchange.
	loginsAtOnce = 16
)

// measureCallers opens idle callers that have run one statement each. The
// client keeps no more than its socket of each.
func measureCallers(ctx context.Context, o Options) ([]Slope, error) {
	server, address, err := startFrontend()
	if err != nil {
		return nil, err
	}
	defer server.Close()
	var bytes, processor, logins []Point
	var open []net.Conn
	defer func() {
		for _, c := range open {
			c.Close()
		}
	}()
	before, spent := memory(), 0.0
	for _, n := range []int{1000, 2000, 3000, 4000, 5000} {
		used := processorTime()
		more, err := openCallers(ctx, address, n-len(open))
		open = append(open, more...)
		if err != nil {
			return nil, err
		}
		spent += millis(processorTime() - used)
		logins = append(logins, Point{float64(n), spent})
		bytes = append(bytes, Point{float64(n), memory() - before})
		processor = append(processor, Point{float64(n), idleShare(ctx, o.Window)})
	}
	return []Slope{
		fit("idle callers", "bytes of memory", bytes),
		fit("idle callers", "share of a core", processor),
		fit("logins", "ms of processor time, both ends", logins),
	}, nil
}

// idleShare returns what share of a core the process uses while it waits.
func idleShare(ctx context.Context, window time.Duration) float64 {
	begin, used := time.Now(), processorTime()
	_ = clock.Sleep(ctx, clock.System{}, window)
	return float64(processorTime()-used) / float64(time.Since(begin))
}

// startFrontend serves callers whose statements all get an empty answer.
func startFrontend() (net.Listener, string, error) {
	verifier, err := document.NewVerifier(callerPassword)
	if err != nil {
		return nil, "", err
	}
	service := &document.Service{
		Name:   "measured",
		Groups: []document.Group{{Name: callerGroup}},
		Users:  []document.User{{Name: callerUser, Verifier: verifier}},
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	server := frontend.NewServer(frontend.Config{
		Instance:  "measured",
		Directory: oneService{service},
		Executor:  emptyAnswers{},
		Clock:     clock.System{},
		Logger:    hclog.NewNullLogger(),
		Metrics:   frontend.NewMetrics(prometheus.NewRegistry()),
	})
	go func() { _ = server.Serve(listener) }()
	return listener, listener.Addr().String(), nil
}

// openCallers logs n callers in, runs a statement on each, and returns their sockets.
func openCallers(ctx context.Context, address string, n int) ([]net.Conn, error) {
	conns := make([]net.Conn, n)
	var group errgroup.Group
	group.SetLimit(loginsAtOnce)
	for i := range conns {
		group.Go(func() error {
			conn, err := openCaller(ctx, address)
			conns[i] = conn
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return conns, nil
}

func openCaller(ctx context.Context, address string) (net.Conn, error) {
	host, port, _ := net.SplitHostPort(address)
	config, err := pgconn.ParseConfig(fmt.Sprintf("host=%s port=%s user=%s password=%s dbname=%s sslmode=disable",
		host, port, callerUser, callerPassword, callerGroup))
	if err != nil {
		return nil, err
	}
	conn, err := pgconn.ConnectConfig(ctx, config)
	if err != nil {
		return nil, err
	}
	if _, err := conn.Exec(ctx, "select 1").ReadAll(); err != nil {
		return nil, err
	}
	hijacked, err := conn.Hijack()
	if err != nil {
		return nil, err
	}
	return hijacked.Conn, nil
}

// oneService is a Directory with one service.
type oneService struct{ service *document.Service }

// FindService implements frontend.Directory.
func (d oneService) FindService(string) (*document.Service, bool) { return d.service, true }

// Ready implements frontend.Directory.
func (d oneService) Ready() bool { return true }

// emptyAnswers is an Executor whose statements return no rows.
type emptyAnswers struct{}

// Execute implements execution.Executor.
func (emptyAnswers) Execute(context.Context, *execution.Unit, func([]byte) error) (*execution.Reply, error) {
	answer, err := (&pgproto3.CommandComplete{CommandTag: []byte("SELECT 0")}).Encode(nil)
	if err != nil {
		return nil, err
	}
	answer, err = (&pgproto3.ReadyForQuery{TxStatus: 'I'}).Encode(answer)
	return &execution.Reply{Messages: answer, TransactionStatus: 'I'}, err
}

// Abandon implements execution.Executor.
func (emptyAnswers) Abandon(string, string) {}

// Cancel implements execution.Executor.
func (emptyAnswers) Cancel(string, string) {}
