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
	// maxConcurrentLogins limits the concurrent logins, each of which costs a SCRAM exchange.
	maxConcurrentLogins = 16
)

// measureCallers opens callers that each run one statement and are then idle. On the
// client side only their sockets are kept.
func measureCallers(ctx context.Context, o Options) ([]Slope, error) {
	server, address, err := startFrontend()
	if err != nil {
		return nil, err
	}
	defer server.Close()
	var memoryUse, cpu, logins []Point
	var open []net.Conn
	defer func() {
		for _, c := range open {
			c.Close()
		}
	}()
	memoryBefore, loginCPU := memoryInUse(), 0.0
	for _, n := range []int{1000, 2000, 3000, 4000, 5000} {
		cpuBefore := cpuTime()
		more, err := openCallers(ctx, address, n-len(open))
		open = append(open, more...)
		if err != nil {
			return nil, err
		}
		loginCPU += milliseconds(cpuTime() - cpuBefore)
		logins = append(logins, Point{float64(n), loginCPU})
		memoryUse = append(memoryUse, Point{float64(n), memoryInUse() - memoryBefore})
		cpu = append(cpu, Point{float64(n), idleCPUShare(ctx, o.Window)})
	}
	return []Slope{
		fitLine("idle callers", "bytes of memory", memoryUse),
		fitLine("idle callers", "share of a core", cpu),
		fitLine("logins", "ms of processor time, both ends", logins),
	}, nil
}

// idleCPUShare returns the share of a core that the process uses while no load runs.
func idleCPUShare(ctx context.Context, window time.Duration) float64 {
	begin, cpuBefore := time.Now(), cpuTime()
	_ = clock.Sleep(ctx, clock.System{}, window)
	return float64(cpuTime()-cpuBefore) / float64(time.Since(begin))
}

// startFrontend starts a frontend that returns an empty result for every statement.
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
		Directory: singleServiceDirectory{service},
		Executor:  emptyExecutor{},
		Clock:     clock.System{},
		Logger:    hclog.NewNullLogger(),
		Metrics:   frontend.NewMetrics(prometheus.NewRegistry()),
	})
	go func() { _ = server.Serve(listener) }()
	return listener, listener.Addr().String(), nil
}

// openCallers logs in n callers, runs one statement on each, and returns their sockets.
func openCallers(ctx context.Context, address string, n int) ([]net.Conn, error) {
	conns := make([]net.Conn, n)
	var group errgroup.Group
	group.SetLimit(maxConcurrentLogins)
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

// singleServiceDirectory is a frontend.Directory with one service.
type singleServiceDirectory struct{ service *document.Service }

// FindService implements frontend.Directory.
func (d singleServiceDirectory) FindService(string) (*document.Service, bool) { return d.service, true }

// Ready implements frontend.Directory.
func (d singleServiceDirectory) Ready() bool { return true }

// emptyExecutor is an execution.Executor whose statements return no rows.
type emptyExecutor struct{}

// Execute implements execution.Executor.
func (emptyExecutor) Execute(context.Context, *execution.Unit, func([]byte) error) (*execution.Reply, error) {
	messages, err := (&pgproto3.CommandComplete{CommandTag: []byte("SELECT 0")}).Encode(nil)
	if err != nil {
		return nil, err
	}
	messages, err = (&pgproto3.ReadyForQuery{TxStatus: 'I'}).Encode(messages)
	return &execution.Reply{Messages: messages, TransactionStatus: 'I'}, err
}

// AbandonTransaction implements execution.Executor.
func (emptyExecutor) AbandonTransaction(string, string) {}

// CancelUnit implements execution.Executor.
func (emptyExecutor) CancelUnit(string, string) {}
