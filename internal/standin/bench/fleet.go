package bench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/failover"
	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/instance"
	"github.com/topazrock/topazrock/internal/netio"
	"github.com/topazrock/topazrock/internal/platform"
	"github.com/topazrock/topazrock/internal/settings"
	"github.com/topazrock/topazrock/internal/standin/loopback"
	"github.com/topazrock/topazrock/internal/standin/member"
	"github.com/topazrock/topazrock/internal/standin/memnet"
	standin "github.com/topazrock/topazrock/internal/standin/platform"
	adapter "github.com/topazrock/topazrock/platform"
)

const (
	platformHost = "127.0.0.2"
	callerHost   = "127.0.0.3"
	// hostsPerDomain is the size of a failure domain's address range. The range of
	// domain d (from 0) starts at 127.0.0.(d+1)*hostsPerDomain.
	hostsPerDomain = 40
	// firstEntryHost is the offset of the entry instances in a domain's range.
	firstEntryHost = 20

	platformTimeout = 2 * time.Second
	startupTimeout  = 5 * time.Second
	maxCallers      = 20_000
)

// fleet runs the whole system in one process: the platform, the members of all
// groups and the entry instances, each on its own loopback address.
type fleet struct {
	profile profile
	// wrapTracker wraps each group's tracker to replace part of topazrock with a
	// baseline. It is nil if there is no baseline.
	wrapTracker func(group.Tracker) group.Tracker
	wan         *wan
	network     func(ip string) netio.Network
	store       *standin.Store
	nodes       [][]*member.Node
	// memberAddresses holds the addresses of each group's members, entryAddresses
	// those at which the instances accept callers, and domainOf the failure domain of
	// each host.
	memberAddresses [][]string
	entryAddresses  []string
	domainOf        map[string]string
	// failovers receives the phases of each completed failover from its claimer.
	failovers chan failover.Timings
	closers   []func()
}

func host(address string) string {
	ip, _, _ := net.SplitHostPort(address)
	return ip
}

func domainHost(domain, i int) string {
	return fmt.Sprintf("127.0.0.%d", (domain+1)*hostsPerDomain+i)
}

// hostsIn returns all hosts of a failure domain.
func (f *fleet) hostsIn(domain string) []string {
	var all []string
	for ip, d := range f.domainOf {
		if d == domain {
			all = append(all, ip)
		}
	}
	return all
}

// startFleet starts all parts of a fleet. The fleet must be closed even if an error is
// returned. A profile without latency uses plain loopback TCP, which costs less.
func startFleet(p profile, c Config, wrap func(group.Tracker) group.Tracker) (*fleet, error) {
	f := &fleet{profile: p, wrapTracker: wrap, wan: &wan{links: memnet.New(), peers: map[string]bool{}}, store: standin.NewStore(), domainOf: map[string]string{}}
	f.failovers = make(chan failover.Timings, maxUnreadFailovers)
	f.network = f.wan.networkOf
	if p.domainLatency == 0 {
		f.network = func(string) netio.Network { return netio.TCP{} }
	}
	for d, name := range p.domains {
		for g := range p.groups {
			f.domainOf[domainHost(d, g)] = name
		}
		for i := d; i < p.instances; i += len(p.domains) {
			f.domainOf[domainHost(d, firstEntryHost+i)] = name
			f.wan.peers[domainHost(d, firstEntryHost+i)] = true
		}
	}
	f.setLatencies()
	if err := f.startMembers(c.ReplicationLag, c.StatementCost); err != nil {
		return f, err
	}
	url, err := f.startPlatform()
	if err != nil {
		return f, err
	}
	return f, f.startInstances(url, c.Seed, c.Logs)
}

func (f *fleet) setLatencies() {
	var all []string
	for _, d := range f.profile.domains {
		for _, other := range f.profile.domains {
			if d != other {
				f.wan.setLatencies(f.hostsIn(d), f.hostsIn(other), f.profile.domainLatency)
			}
		}
		all = append(all, f.hostsIn(d)...)
	}
	f.wan.setLatencies(all, []string{platformHost}, f.profile.domainLatency)
	f.wan.setLatencies(all, []string{callerHost}, f.profile.callerLatency)
}

// startMembers starts the members of all groups. The primary of group g is in failure
// domain g modulo the number of domains.
func (f *fleet) startMembers(lag, cost time.Duration) error {
	base := member.Options{
		MaxConnections:          f.profile.connections,
		MaxConcurrentStatements: f.profile.slots,
		ConnectDelay:            connectDelay,
		ReplicationLag:          lag,
		StatementCost:           cost,
	}
	for g := range f.profile.groups {
		var addresses []string
		for i := range f.profile.domains {
			address, err := loopback.FreeAddress(domainHost((g+i)%len(f.profile.domains), g))
			if err != nil {
				return err
			}
			addresses = append(addresses, address)
		}
		nodes, err := member.StartGroup(base, f.network, addresses...)
		if err != nil {
			return err
		}
		f.nodes, f.memberAddresses = append(f.nodes, nodes), append(f.memberAddresses, addresses)
		for _, n := range nodes {
			f.closers = append(f.closers, n.Stop)
		}
	}
	return nil
}

func (f *fleet) startPlatform() (url string, err error) {
	l, err := net.Listen("tcp", net.JoinHostPort(platformHost, "0"))
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: standin.Handler(f.store)}
	go func() { _ = server.Serve(l) }()
	f.closers = append(f.closers, func() { _ = server.Close() })
	return "http://" + l.Addr().String(), nil
}

func (f *fleet) startInstances(url string, seed uint64, logs io.Writer) error {
	text := f.profile.renderDocument(f.memberAddresses, func(ip string) string { return f.domainOf[ip] })
	var inventory platform.Inventory
	var all []*settings.Settings
	for i := range f.profile.instances {
		s, err := f.newSettings(i, url)
		if err != nil {
			return err
		}
		all = append(all, s)
		inventory.Instances = append(inventory.Instances, platform.Instance{
			ID: s.Instance.ID, FailureDomain: s.Instance.FailureDomain,
			PeerAddress: s.Peer.Address, AdminAddress: s.Admin.Address,
		})
	}
	f.store.SetInventory(inventory)
	for i, s := range all {
		f.startInstance(s, seed+uint64(i), logs)
	}
	return f.applyDocument(all, text)
}

// newSettings returns the settings of instance i, with unused addresses.
func (f *fleet) newSettings(i int, url string) (*settings.Settings, error) {
	domain := i % len(f.profile.domains)
	ip := domainHost(domain, firstEntryHost+i)
	var addresses [3]string
	for j := range addresses {
		address, err := loopback.FreeAddress(ip)
		if err != nil {
			return nil, err
		}
		addresses[j] = address
	}
	f.entryAddresses = append(f.entryAddresses, addresses[0])
	s := &settings.Settings{}
	s.Instance = settings.Instance{
		ID:            fmt.Sprintf("entry-%s-%d", f.profile.domains[domain], i),
		FailureDomain: f.profile.domains[domain],
		Region:        f.profile.region,
	}
	s.Caller = settings.Caller{Address: addresses[0], MaxCallers: maxCallers, StartupTimeout: startupTimeout}
	s.Peer.Address, s.Admin.Address = addresses[1], addresses[2]
	s.Platform = settings.Platform{URL: url, Timeout: platformTimeout}
	s.Upstream = settings.Upstream{User: "topazrock", ApplicationName: "topazrock"}
	s.Homes.PerFailureDomain = 1
	return s, nil
}

func (f *fleet) startInstance(s *settings.Settings, seed uint64, logs io.Writer) {
	network := f.network(host(s.Caller.Address))
	n := instance.New(instance.Options{
		Settings: s,
		Network:  network,
		Clock:    clock.System{},
		Seed:     seed,
		Platform: adapter.NewClient(s.Platform.URL, network, s.Platform.Timeout),
		Logger:   hclog.New(&hclog.LoggerOptions{Name: s.Instance.ID, Output: logs, Level: hclog.Info}),
		Registry: prometheus.NewRegistry(),

		WrapTracker: f.wrapTracker,
		OnFailover: func(g failover.Timings) {
			select {
			case f.failovers <- g:
			default:
			}
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := n.Run(ctx); err != nil {
			fmt.Fprintln(logs, "instance ended:", err)
		}
	}()
	f.closers = append(f.closers, func() {
		cancel()
		<-done
	})
}

// close stops all parts in reverse order of their start, so the instances first.
func (f *fleet) close() {
	for _, c := range slices.Backward(f.closers) {
		c()
	}
}

// primary returns the index of a group's primary. If several members are primary, it
// is the one with the highest term.
func (f *fleet) primary(group int) int {
	best, term := 0, -1
	for i, n := range f.nodes[group] {
		if s := n.Status(); s.Role == "primary" && int(s.EnteredTerm) > term {
			best, term = i, int(s.EnteredTerm)
		}
	}
	return best
}

// primaryTerm returns the term of a group's primary.
func (f *fleet) primaryTerm(group int) int {
	return int(f.nodes[group][f.primary(group)].Status().EnteredTerm)
}

// converged reports whether all members of a group follow one primary.
func (f *fleet) converged(group int) bool {
	first := f.nodes[group][f.primary(group)].Status()
	for _, n := range f.nodes[group] {
		if s := n.Status(); s.AttachedTerm != first.EnteredTerm || s.EnteredTerm != first.EnteredTerm {
			return false
		}
	}
	return true
}

var errNotConverged = errors.New("timed out waiting for all members of the group to follow one primary")

// awaitConvergence waits until all members of a group follow one primary.
func (f *fleet) awaitConvergence(ctx context.Context, group int) error {
	ctx, cancel := context.WithTimeout(ctx, convergenceTimeout)
	defer cancel()
	for !f.converged(group) {
		if ctx.Err() != nil {
			return errNotConverged
		}
		sleep(ctx, convergencePoll)
	}
	return nil
}

const (
	connectDelay = 10 * time.Millisecond
	// maxUnreadFailovers limits the queued failover reports; more are dropped.
	maxUnreadFailovers = 64
	convergenceTimeout = 30 * time.Second
	convergencePoll    = 10 * time.Millisecond
)

var _ netio.Network = (*wanHost)(nil)
