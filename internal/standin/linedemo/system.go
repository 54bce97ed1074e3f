package linedemo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/instance"
	"github.com/topazrock/topazrock/internal/netio"
	"github.com/topazrock/topazrock/internal/platform"
	"github.com/topazrock/topazrock/internal/settings"
	"github.com/topazrock/topazrock/internal/standin/loopback"
	"github.com/topazrock/topazrock/internal/standin/member"
	standin "github.com/topazrock/topazrock/internal/standin/platform"
	adapter "github.com/topazrock/topazrock/platform"
)

const (
	groupName = "demo-1"
	// Names of the demo's databases: reads of ownDatabase see their own session's writes,
	// reads of freshDatabase all acknowledged writes.
	ownDatabase   = "own"
	freshDatabase = "fresh"

	connections     = 34
	slots           = 5
	replicationLag  = 20 * time.Millisecond
	statementCost   = 500 * time.Microsecond
	connectDelay    = 10 * time.Millisecond
	platformTimeout = 2 * time.Second
	maxCallers      = 1000
	drainTimeout    = time.Second
)

// failureDomains are the failure domains; each has one member and one instance.
var failureDomains = []string{"a", "b", "c"}

// system holds all components that the demo runs.
type system struct {
	store   *standin.Store
	nodes   []*member.Node
	members []string
	// callerAddresses are the addresses where the instances accept callers.
	callerAddresses []string
	closers         []func()
}

// startSystem starts all components. The returned system must be closed even on error.
func startSystem(seed uint64, logs io.Writer) (*system, error) {
	s := &system{store: standin.NewStore()}
	if err := s.startMembers(); err != nil {
		return s, err
	}
	url, err := s.startPlatform()
	if err != nil {
		return s, err
	}
	s.publishObjects()
	for i := range failureDomains {
		if err := s.startInstance(i, url, seed, logs); err != nil {
			return s, err
		}
	}
	return s, nil
}

func memberID(i int) string { return fmt.Sprintf("i-demo-%d", i) }

// loopbackHost returns the loopback address of a failure domain.
func loopbackHost(i int) string { return fmt.Sprintf("127.0.0.%d", 40*(i+1)) }

func (s *system) startMembers() error {
	for i := range failureDomains {
		address, err := loopback.FreeAddress(loopbackHost(i))
		if err != nil {
			return err
		}
		s.members = append(s.members, address)
	}
	for i := range failureDomains {
		n := member.New(member.Options{
			Address: s.members[i], Primary: s.members[0], Network: netio.TCP{}, ID: memberID(i), Group: groupName,
			ConnectDelay: connectDelay, MaxConnections: connections, MaxConcurrentStatements: slots,
			ReplicationLag: replicationLag, StatementCost: statementCost,
		})
		if err := n.Start(); err != nil {
			return err
		}
		s.nodes = append(s.nodes, n)
		s.closers = append(s.closers, n.Stop)
	}
	return nil
}

// startPlatform serves the store and the promotion endpoint at one address.
func (s *system) startPlatform() (url string, err error) {
	l, err := net.Listen("tcp", "127.0.0.2:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.Handle("/", standin.Handler(s.store))
	mux.Handle("POST /promotion", newPromoter(s))
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(l) }()
	s.closers = append(s.closers, func() { _ = server.Close() })
	return "http://" + l.Addr().String(), nil
}

// publishObjects writes the manifest and the members' upstream objects.
func (s *system) publishObjects() {
	s.putObject(platform.KindManifest, platform.ManifestName, map[string]any{
		"Version":  1,
		"Services": []any{map[string]any{"Name": groupName, "MaxConns": connections}},
		"Limits":   map[string]any{"TxIdleMs": 3000},
		"Routes": []any{
			map[string]any{"Name": "r1", "Host": freshDatabase, "Type": "primary", "Service": groupName, "TimeoutMs": 2000, "SloMs": 400, "Priority": 1},
			map[string]any{"Name": "r2", "Host": ownDatabase, "Type": "read_your_writes", "Service": groupName, "TimeoutMs": 2000, "SloMs": 400, "Priority": 2, "MaxStalenessMs": 2500},
		},
	})
	for i := range failureDomains {
		s.publishMember(i, i == 0)
	}
}

// publishMember writes a member's upstream object with its current role.
func (s *system) publishMember(i int, isPrimary bool) {
	role := "replica"
	if isPrimary {
		role = "primary"
	}
	s.putObject(platform.KindUpstreams, memberID(i), map[string]any{
		"Service": groupName, "Addr": s.members[i], "Zone": failureDomains[i], "Version": "v1", "Slots": slots,
		"State": "ready", "ColdMs": 0, "DbRole": role, "Seq": 1, "born": 1,
	})
}

// putObject creates or overwrites an object.
func (s *system) putObject(kind platform.Kind, name string, spec any) {
	value, err := json.Marshal(spec)
	if err != nil {
		panic(err) // unreachable: specifications are maps of plain values
	}
	ctx := context.Background()
	current, _ := s.store.Get(ctx, kind, name) // if not found, version 0 creates it
	_, _ = s.store.Put(ctx, kind, name, value, current.Version)
}

func (s *system) startInstance(i int, url string, seed uint64, logs io.Writer) error {
	var addresses [3]string
	for k := range addresses {
		address, err := loopback.FreeAddress(loopbackHost(i))
		if err != nil {
			return err
		}
		addresses[k] = address
	}
	s.callerAddresses = append(s.callerAddresses, addresses[0])
	o := instance.Options{
		Settings: &settings.Settings{
			Instance:  settings.Instance{ID: "entry-" + failureDomains[i], FailureDomain: failureDomains[i], Region: "demo"},
			Caller:    settings.Caller{Address: addresses[0], Wire: settings.WireLine, MaxCallers: maxCallers},
			Peer:      settings.Peer{Address: addresses[1]},
			Admin:     settings.Admin{Address: addresses[2]},
			Platform:  settings.Platform{URL: url, Timeout: platformTimeout},
			Homes:     settings.Homes{PerFailureDomain: 1},
			Promotion: settings.Promotion{URL: url},
			Drain:     settings.Drain{Timeout: drainTimeout},
		},
		Network: netio.TCP{}, Clock: clock.System{}, Seed: seed + uint64(i),
		Platform: adapter.NewClient(url, netio.TCP{}, platformTimeout),
		Logger:   hclog.New(&hclog.LoggerOptions{Name: "entry-" + failureDomains[i], Output: logs, Level: hclog.Info, JSONFormat: true}),
		Registry: prometheus.NewRegistry(),
	}
	adapter.ConfigureLineProtocol(&o)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	n := instance.New(o)
	go func() {
		defer close(stopped)
		if err := n.Run(ctx); err != nil {
			fmt.Fprintln(logs, "instance stopped with an error:", err)
		}
	}()
	s.closers = append(s.closers, func() {
		cancel()
		<-stopped
	})
	return nil
}

// close stops the components in reverse order of their start, so the instances first.
func (s *system) close() {
	for _, c := range slices.Backward(s.closers) {
		c()
	}
}
