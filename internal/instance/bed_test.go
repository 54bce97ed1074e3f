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
	bedGroup = "base-1"
	// bedConnections is the group's total.
	bedConnections = 35
	bedLag         = 5 * time.Millisecond
	bedPassword    = "tagua"
	callerHost     = "10.0.9.1"
)

// bed is a whole system in memory: one group of three members in three failure
// domains, one instance in each, and the platform.
type bed struct {
	t         *testing.T
	is        *is.I
	net       *memnet.Network
	nodes     []*member.Node
	store     *standin.Store
	instances []*Instance
	stop      []context.CancelFunc
	ended     []chan error
	callers   []*pgx.Conn
	// views are the platform as each instance reaches it.
	views []*standin.View
	// size is the number of instances.
	size int
	// draining says which instances were told to stop.
	draining map[int]bool
	// dead holds the ends of processes that were replaced.
	dead []chan error
	// started counts processes, which gives each a seed of its own.
	started uint64
	// failoverHook is called at the steps of every instance's claims.
	failoverHook atomic.Pointer[func(failover.Step)]
	// loadHook is called at named points of the callers' own work.
	loadHook atomic.Pointer[func(point string)]
}

var bedDomains = []string{"poa-a", "poa-b", "fln-c"}

func memberHost(i int) string      { return fmt.Sprintf("10.0.%d.1", i+1) }
func memberAddress(i int) string   { return memberHost(i) + ":5432" }
func instanceAddress(i int) string { return instanceHost(i) + ":6432" }

// instanceHost returns the host of an instance. The first three are in the three
// failure domains, the next three again.
func instanceHost(i int) string {
	return fmt.Sprintf("10.0.%d.%d", i%len(bedDomains)+1, 2+i/len(bedDomains))
}

func domainOf(i int) string { return bedDomains[i%len(bedDomains)] }

// inBed runs f in a bubble of virtual time with a bed of three instances that
// has started.
func inBed(t *testing.T, f func(b *bed)) { inBedOf(t, len(bedDomains), f) }

// inBedOf is inBed with another number of instances. From the fourth on, some
// are not home to the group.
func inBedOf(t *testing.T, instances int, f func(b *bed)) {
	synctest.Test(t, func(t *testing.T) {
		b := &bed{t: t, is: is.New(t), net: memnet.New(), store: standin.NewStore(), draining: make(map[int]bool), size: instances}
		b.startMembers()
		b.startInstances()
		time.Sleep(time.Second)
		b.apply(bedDocument(), 0)
		time.Sleep(time.Second)
		defer b.close()
		f(b)
	})
}

func (b *bed) apply(text string, version int64) {
	b.t.Helper()
	o, err := b.instances[0].store.Apply(context.Background(), "base", text, version, "operator")
	b.is.NoErr(err)
	b.is.Equal(o.State, config.Accepted)
}

func (b *bed) close() {
	for _, c := range b.callers {
		c.Close(context.Background())
	}
	for i := range b.instances {
		b.stop[i]()
	}
	for _, ended := range append(b.dead, b.ended...) {
		<-ended
	}
	for _, n := range b.nodes {
		n.Stop()
	}
}

func (b *bed) startMembers() {
	base := member.Options{ConnectDelay: 10 * time.Millisecond, ReplicationLag: bedLag, ConnectionTotal: 35}
	network := func(ip string) netio.Network { return b.net.Host(ip) }
	nodes, err := member.StartGroup(base, network, memberAddress(0), memberAddress(1), memberAddress(2))
	b.is.NoErr(err)
	b.nodes = nodes
}

// inventory is the right list of instances.
func (b *bed) inventory() platform.Inventory {
	var list platform.Inventory
	for i := range b.size {
		list.Instances = append(list.Instances, platform.Instance{
			ID: fmt.Sprintf("i%d", i), FailureDomain: domainOf(i), PeerAddress: instanceHost(i) + ":7432",
		})
	}
	return list
}

func (b *bed) startInstances() {
	b.store.SetInventory(b.inventory())
	n := b.size
	b.views = make([]*standin.View, n)
	b.instances = make([]*Instance, n)
	b.stop = make([]context.CancelFunc, n)
	b.ended = make([]chan error, n)
	for i := range b.size {
		b.startInstanceAt(i)
	}
}

// startInstanceAt starts a process in place of instance i.
func (b *bed) startInstanceAt(i int) {
	s := &settings.Settings{}
	s.Instance = settings.Instance{ID: fmt.Sprintf("i%d", i), FailureDomain: domainOf(i)}
	s.Caller.Address = instanceAddress(i)
	s.Peer.Address = instanceHost(i) + ":7432"
	s.Homes.PerFailureDomain = 1
	s.Upstream.User = "topazrock"
	b.started++
	b.views[i] = standin.NewView(b.store)
	b.instances[i] = New(Options{
		Settings:     s,
		Network:      b.net.Host(instanceHost(i)),
		Clock:        clock.System{},
		Seed:         b.started,
		Platform:     b.views[i],
		Logger:       bedLogger(),
		Registry:     prometheus.NewRegistry(),
		FailoverHook: b.callFailoverHook,
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	n := b.instances[i]
	go func() { ended <- n.Run(ctx) }()
	b.stop[i] = cancel
	b.ended[i] = ended
}

// bedLogger shows the instances' logs where TOPAZROCK_BED_LOG is set.
func bedLogger() hclog.Logger {
	if os.Getenv("TOPAZROCK_BED_LOG") == "" {
		return hclog.NewNullLogger()
	}
	return hclog.New(&hclog.LoggerOptions{Level: hclog.Debug, Output: os.Stderr})
}

func (b *bed) atLoad(point string) {
	if f := b.loadHook.Load(); f != nil {
		(*f)(point)
	}
}

func (b *bed) onFailoverStep(f func(failover.Step)) { b.failoverHook.Store(&f) }

func (b *bed) callFailoverHook(s failover.Step) {
	if f := b.failoverHook.Load(); f != nil {
		(*f)(s)
	}
}

// applyAgain applies the document in force once more, through instance 1, and
// returns the version if it was accepted.
func (b *bed) applyAgain() int64 {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	current, ok := b.instances[1].store.Current("base")
	if !ok {
		return 0
	}
	o, err := b.instances[1].store.Apply(ctx, "base", current.Text, current.Version, "operator")
	if err != nil || o.State != config.Accepted {
		return 0
	}
	return o.Version
}

// bedDocument is the service document of the bed's one service.
func bedDocument() string {
	verifier, err := document.NewVerifier(bedPassword)
	if err != nil {
		panic(err)
	}
	var members []string
	for i, d := range bedDomains {
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
`, bedGroup, strings.Join(members, ", "), bedConnections, verifier)
}
