package bench

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"
	"github.com/topazrock/topazrock/internal/standin/platform"
)

const (
	benchClients = 16
	idleCallers  = 5000
	// maxConcurrentLogins limits how many callers log in at the same time.
	maxConcurrentLogins = 64
	lookUp              = "SELECT v FROM kv WHERE k = $1 /*request='pending-visits'*/"
)

// startLocalBench starts one group and one instance without network latency.
func startLocalBench(b *testing.B, cost time.Duration) *bench {
	b.Helper()
	p := profiles[ProfileLigacaoSul]
	p.domainLatency, p.callerLatency = 0, 0
	p.groups, p.instances, p.connections, p.slots = 1, 1, 200, 64
	f, err := startFleet(p, Config{StatementCost: cost, Seed: 1, Logs: io.Discard}, nil)
	b.Cleanup(f.close)
	if err != nil {
		b.Fatal(err)
	}
	run := &bench{fleet: f, history: newHistory(), recentWrites: &recentWrites{}}
	<-time.After(warmUp)
	return run
}

// dialReplica connects directly to a replica, the member that also serves these reads
// through an instance.
func (b *bench) dialReplica(ctx context.Context) (*pgx.Conn, error) {
	return pgx.Connect(ctx, "postgres://u@"+b.memberAddresses[0][1]+"/g?sslmode=disable")
}

// measureLookUps runs n look-ups on benchClients connections and returns the
// throughput and the median latency.
func measureLookUps(b *testing.B, n int, connect func() (*pgx.Conn, error)) (perSecond float64, p50 time.Duration) {
	b.Helper()
	conns := make([]*pgx.Conn, benchClients)
	for i := range conns {
		c, err := connect()
		if err != nil {
			b.Fatal(err)
		}
		defer c.Close(context.Background())
		conns[i] = c
	}
	h := hdrhistogram.New(lowestLatency, highestLatency*1000, latencyDigits)
	var mu sync.Mutex
	var wg sync.WaitGroup
	began := time.Now()
	for _, c := range conns {
		wg.Go(func() {
			own := hdrhistogram.New(lowestLatency, highestLatency*1000, latencyDigits)
			for range n / benchClients {
				start := time.Now()
				var v string
				if err := c.QueryRow(context.Background(), lookUp, "a").Scan(&v); err != nil {
					b.Error(err)
					return
				}
				_ = own.RecordValue(time.Since(start).Nanoseconds())
			}
			mu.Lock()
			defer mu.Unlock()
			h.Merge(own)
		})
	}
	wg.Wait()
	took := time.Since(began)
	return float64(h.TotalCount()) / took.Seconds(), time.Duration(h.ValueAtQuantile(50))
}

// BenchmarkProxyCost compares look-ups through an instance with look-ups directly at
// the same member, by the same number of clients. The member responds immediately or
// takes DefaultStatementCost per statement.
func BenchmarkProxyCost(b *testing.B) {
	b.Run("cost=0", func(b *testing.B) { compareDirectAndProxy(b, 0) })
	b.Run("cost=500us", func(b *testing.B) { compareDirectAndProxy(b, DefaultStatementCost) })
}

// compareDirectAndProxy reports the results of the last of b.N rounds.
func compareDirectAndProxy(b *testing.B, cost time.Duration) {
	run := startLocalBench(b, cost)
	ctx := context.Background()
	conn, err := run.dial(ctx, 0, 0, "")
	if err != nil {
		b.Fatal(err)
	}
	if err := insert(ctx, conn, writeRecord{0, "a", "1"}, run.profile.unkeyedWrite()); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		n := 20_000
		direct, directP50 := measureLookUps(b, n, func() (*pgx.Conn, error) { return run.dialReplica(ctx) })
		proxy, proxyP50 := measureLookUps(b, n, func() (*pgx.Conn, error) { return run.dial(ctx, 0, 0, "") })
		b.ReportMetric(direct, "direct_stmt/s")
		b.ReportMetric(proxy, "proxy_stmt/s")
		b.ReportMetric(proxy/direct, "ratio")
		b.ReportMetric(float64((proxyP50 - directP50).Microseconds()), "added_p50_us")
	}
}

// BenchmarkIdleCallers reports the heap and stack bytes per idle caller, for 5,000
// callers that have each run one statement. The clients' sockets are in the same
// process, so the result is an upper bound.
func BenchmarkIdleCallers(b *testing.B) {
	run := startLocalBench(b, 0)
	before := memoryInUse()
	for b.Loop() {
		conns := make([]net.Conn, idleCallers)
		var wg sync.WaitGroup
		gate := make(chan struct{}, maxConcurrentLogins)
		for i := range conns {
			gate <- struct{}{}
			wg.Go(func() {
				defer func() { <-gate }()
				conns[i] = openIdleCaller(b, run)
			})
		}
		wg.Wait()
		b.ReportMetric(float64(memoryInUse()-before)/idleCallers, "bytes/caller")
		for _, c := range conns {
			if c != nil {
				_ = c.Close()
			}
		}
	}
}

// openIdleCaller connects a caller, runs one statement, and keeps only the socket of
// the client.
func openIdleCaller(b *testing.B, run *bench) net.Conn {
	ctx := context.Background()
	conn, err := run.dial(ctx, 0, 0, "")
	if err != nil {
		b.Error(err)
		return nil
	}
	if _, err := conn.Exec(ctx, lookUp, pgx.QueryExecModeExec, "a"); err != nil {
		b.Error(err)
	}
	hijacked, err := conn.PgConn().Hijack()
	if err != nil {
		b.Error(err)
		return nil
	}
	return hijacked.Conn
}

func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

func TestShortRunBreaksNoGuarantee(t *testing.T) {
	is := is.New(t)
	r, err := Run(t.Context(), Config{
		Profile: ProfileLigacaoSul, Duration: 2 * time.Second, Seed: 1, Fault: FaultReplicaLag,
		Sessions: 12, ThinkTime: 20 * time.Millisecond, ReplicationLag: 5 * time.Millisecond, StatementCost: DefaultStatementCost,
		Progress: io.Discard, Logs: io.Discard, small: true,
	})
	is.NoErr(err)
	is.True(!r.Failed())
	is.True(r.Reads > 0)
	is.True(r.WritesAcked > 0)
	is.True(r.ConnectionsHighest <= r.ConnectionsTotal)
	is.True(r.PlatformCalls[platform.CallInventory] > 0)
}

func TestDocumentIsRenderedForRun(t *testing.T) {
	is := is.New(t)
	p := profiles[ProfileLentes]
	text := p.renderDocument([][]string{{"127.0.0.40:1", "127.0.0.80:2"}}, func(string) string { return "d" })
	is.True(len(text) > 0)
	is.Equal(p.groupName(2), "subs-3")
	for _, c := range p.classes {
		is.True(strings.Contains(text, fmt.Sprintf(" %s]", c.name)))
	}
	is.True(strings.Contains(text, "members = d/127.0.0.40:1, d/127.0.0.80:2\n"))
	is.True(!strings.Contains(text, "subs-2"))
}
