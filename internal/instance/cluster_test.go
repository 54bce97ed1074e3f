package instance

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/config"
	"github.com/topazrock/topazrock/internal/document"
	"github.com/topazrock/topazrock/internal/failover"
	"github.com/topazrock/topazrock/internal/platform"
	"github.com/topazrock/topazrock/internal/settings"
	"github.com/topazrock/topazrock/internal/standin/member"
	"github.com/topazrock/topazrock/internal/standin/memnet"
	standin "github.com/topazrock/topazrock/internal/standin/platform"

	"github.com/topazrock/topazrock/internal/netio"
)

const (
	testGroup = "base-1"
	// testConnections is the limit of the group's connections.
	testConnections    = 35
	testReplicationLag = 5 * time.Millisecond
	testPassword       = "tagua"
	callerHost         = "10.0.9.1"
)

// testCluster is a complete system in memory: one group of three members in three failure
// domains, one instance in each of them or more, and the platform.
type testCluster struct {
	t           *testing.T
	is          *is.I
	net         *memnet.Network
	nodes       []*member.Node
	store       *standin.Store
	instances   []*Instance
	stop        []context.CancelFunc
	runErrors   []chan error
	callerConns []*pgx.Conn
	// views holds the platform as seen by each instance.
	views []*standin.View
	// instanceCount is the number of instances.
	instanceCount int
	// draining holds the instances that were asked to stop.
	draining map[int]bool
	// replacedRunErrors holds the results of Run of processes that were replaced.
	replacedRunErrors []chan error
	// processCount counts the processes started; each gets its own seed.
	processCount uint64
	// failoverHook is called at the steps of every instance's claims.
	failoverHook atomic.Pointer[func(failover.Step)]
	// loadHook is called at named points of the load's requests.
	loadHook atomic.Pointer[func(point string)]
}

var testDomains = []string{"poa-a", "poa-b", "fln-c"}

func memberHost(i int) string      { return fmt.Sprintf("10.0.%d.1", i+1) }
func memberAddress(i int) string   { return memberHost(i) + ":5432" }
func instanceAddress(i int) string { return instanceHost(i) + ":6432" }

// instanceHost returns the host of an instance. Instances are assigned to the three failure
// domains in turn.
func instanceHost(i int) string {
	return fmt.Sprintf("10.0.%d.%d", i%len(testDomains)+1, 2+i/len(testDomains))
}

func domainOf(i int) string { return testDomains[i%len(testDomains)] }

// withCluster runs f in a synctest bubble with a running cluster of three instances.
func withCluster(t *testing.T, f func(tc *testCluster)) { withClusterOf(t, len(testDomains), f) }

// withClusterOf is withCluster with the given number of instances. If there are more than
// three, some are not home to the group.
func withClusterOf(t *testing.T, instances int, f func(tc *testCluster)) {
	synctest.Test(t, func(t *testing.T) {
		tc := &testCluster{t: t, is: is.New(t), net: memnet.New(), store: standin.NewStore(), draining: make(map[int]bool), instanceCount: instances}
		tc.startMembers()
		tc.startInstances()
		time.Sleep(time.Second)
		tc.apply(testDocument(), 0)
		time.Sleep(time.Second)
		defer tc.close()
		f(tc)
	})
}

func (tc *testCluster) apply(text string, version int64) {
	tc.t.Helper()
	o, err := tc.instances[0].store.Apply(context.Background(), "base", text, version, "operator")
	tc.is.NoErr(err)
	tc.is.Equal(o.State, config.Accepted)
}

func (tc *testCluster) close() {
	for _, c := range tc.callerConns {
		c.Close(context.Background())
	}
	for i := range tc.instances {
		tc.stop[i]()
	}
	for _, ended := range append(tc.replacedRunErrors, tc.runErrors...) {
		<-ended
	}
	for _, n := range tc.nodes {
		n.Stop()
	}
}

func (tc *testCluster) startMembers() {
	base := member.Options{ConnectDelay: 10 * time.Millisecond, ReplicationLag: testReplicationLag, MaxConnections: 35}
	network := func(ip string) netio.Network { return tc.net.Host(ip) }
	nodes, err := member.StartGroup(base, network, memberAddress(0), memberAddress(1), memberAddress(2))
	tc.is.NoErr(err)
	tc.nodes = nodes
}

// inventory returns the correct list of instances.
func (tc *testCluster) inventory() platform.Inventory {
	var list platform.Inventory
	for i := range tc.instanceCount {
		list.Instances = append(list.Instances, platform.Instance{
			ID: fmt.Sprintf("i%d", i), FailureDomain: domainOf(i), PeerAddress: instanceHost(i) + ":7432",
		})
	}
	return list
}

func (tc *testCluster) startInstances() {
	tc.store.SetInventory(tc.inventory())
	n := tc.instanceCount
	tc.views = make([]*standin.View, n)
	tc.instances = make([]*Instance, n)
	tc.stop = make([]context.CancelFunc, n)
	tc.runErrors = make([]chan error, n)
	for i := range tc.instanceCount {
		tc.startInstanceAt(i)
	}
}

// startInstanceAt starts a process as instance i.
func (tc *testCluster) startInstanceAt(i int) {
	s := &settings.Settings{}
	s.Instance = settings.Instance{ID: fmt.Sprintf("i%d", i), FailureDomain: domainOf(i)}
	s.Caller.Address = instanceAddress(i)
	s.Peer.Address = instanceHost(i) + ":7432"
	s.Homes.PerFailureDomain = 1
	s.Upstream.User = "topazrock"
	tc.processCount++
	tc.views[i] = standin.NewView(tc.store)
	tc.instances[i] = New(Options{
		Settings:     s,
		Network:      tc.net.Host(instanceHost(i)),
		Clock:        clock.System{},
		Seed:         tc.processCount,
		Platform:     tc.views[i],
		Logger:       testLogger(),
		Registry:     prometheus.NewRegistry(),
		FailoverHook: tc.callFailoverHook,
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	n := tc.instances[i]
	go func() { ended <- n.Run(ctx) }()
	tc.stop[i] = cancel
	tc.runErrors[i] = ended
}

// testLogger logs to standard error if TOPAZROCK_BED_LOG is set.
func testLogger() hclog.Logger {
	if os.Getenv("TOPAZROCK_BED_LOG") == "" {
		return hclog.NewNullLogger()
	}
	return hclog.New(&hclog.LoggerOptions{Level: hclog.Debug, Output: os.Stderr})
}

func (tc *testCluster) callLoadHook(point string) {
	if f := tc.loadHook.Load(); f != nil {
		(*f)(point)
	}
}

func (tc *testCluster) onFailoverStep(f func(failover.Step)) { tc.failoverHook.Store(&f) }

func (tc *testCluster) callFailoverHook(s failover.Step) {
	if f := tc.failoverHook.Load(); f != nil {
		(*f)(s)
	}
}

// reapplyDocument applies the current document again through instance 1, and returns the
// new version, or 0 if it was not accepted.
func (tc *testCluster) reapplyDocument() int64 {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	current, ok := tc.instances[1].store.Current("base")
	if !ok {
		return 0
	}
	o, err := tc.instances[1].store.Apply(ctx, "base", current.Text, current.Version, "operator")
	if err != nil || o.State != config.Accepted {
		return 0
	}
	return o.Version
}

// testDocument returns the document of the cluster's only service.
func testDocument() string {
	verifier, err := document.NewVerifier(testPassword)
	if err != nil {
		panic(err)
	}
	var members []string
	for i, d := range testDomains {
		members = append(members, d+"/"+memberAddress(i))
	}
	return fmt.Sprintf(`
[service]
name = base

[group %s]
members = %s
connections = %d
slots = 5

[user clerk]
verifier = %s

[limits]
request_timeout = 5s
statement_timeout = 5s
confirm_timeout = 1s

[read pending-visits]
max_age = 2s
priority = 5

[read application]
priority = 3

[request fee-payment]
repeat = never
priority = 1

[request note]
repeat = allowed
priority = 4
`, testGroup, strings.Join(members, ", "), testConnections, verifier)
}
