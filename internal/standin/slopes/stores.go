package slopes

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/config"
	"github.com/topazrock/topazrock/internal/peer"
	"github.com/topazrock/topazrock/internal/platform"
	standin "github.com/topazrock/topazrock/internal/standin/platform"
)

const (
	// historyLength is the number of earlier changes stored with a document. At
	// seven changes per document and day, a history fills up within days.
	historyLength = 50
	// The pushes after a start are considered complete once fewer than maxIdleBytes
	// are sent within idleWindow. Digests alone stay below that.
	idleWindow   = 2 * time.Second
	maxIdleBytes = 8 << 10
	// pushesTimeout limits the wait for the pushes after a start to end.
	pushesTimeout = time.Minute
)

// storePair is the configuration stores of two instances of one failure domain: a
// relay that watches the platform, and a child that the relay pushes to.
type storePair struct {
	relay, child *config.Store
	network      *countingNetwork
	// memoryBefore is the memory in use after the documents were stored in the
	// platform and before the instances were created.
	memoryBefore float64
	stop         func()
}

// startStorePair starts both instances with n documents in the platform, and waits
// until both have applied all documents.
func startStorePair(ctx context.Context, o Options, n int) (*storePair, error) {
	api := standin.NewStore()
	for i := range n {
		value, err := json.Marshal(newEnvelope(i))
		if err != nil {
			return nil, err
		}
		if _, err := api.Put(ctx, platform.KindService, serviceName(i), value, 0); err != nil {
			return nil, err
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	p := &storePair{network: &countingNetwork{}, memoryBefore: memoryInUse()}
	var running sync.WaitGroup
	var closers []func()
	p.stop = func() {
		cancel()
		running.Wait()
		for _, closeItem := range closers {
			closeItem()
		}
	}
	pair, err := newInstancePair()
	if err != nil {
		p.stop()
		return nil, err
	}
	for i, instance := range pair.instances {
		client := peer.NewClient(instance.ID, p.network)
		server := peer.NewServer(hclog.NewNullLogger())
		s := config.New(config.Options{
			API:      api,
			Clock:    clock.System{},
			Rand:     rand.New(rand.NewPCG(o.Seed, uint64(i))),
			Fleet:    &pairFleet{instances: pair.instances, self: i},
			Peers:    client,
			Registry: server,
		})
		go func() { _ = server.Serve(pair.listeners[i]) }()
		running.Go(func() { _ = s.Run(ctx) })
		closers = append(closers, client.Close, server.Close, func() { pair.listeners[i].Close() })
		if i == 0 {
			p.relay = s
		} else {
			p.child = s
		}
	}
	err = waitUntil(ctx, func() bool { return len(p.relay.Versions()) == n && len(p.child.Versions()) == n })
	if err == nil {
		err = p.waitForPushes(ctx)
	}
	if err != nil {
		p.stop()
	}
	return p, err
}

// waitForPushes waits until the pushes that follow the start have been sent.
func (p *storePair) waitForPushes(ctx context.Context) error {
	for begin := time.Now(); time.Since(begin) < pushesTimeout; {
		bytesBefore := p.network.bytes.Load()
		if err := clock.Sleep(ctx, clock.System{}, idleWindow); err != nil {
			return err
		}
		if p.network.bytes.Load()-bytesBefore < maxIdleBytes {
			return nil
		}
	}
	return errors.New("timed out waiting for the pushes after the start to end")
}

func serviceName(i int) string { return fmt.Sprintf("service-%d", i) }

// newEnvelope returns document i with a history of historyLength changes.
func newEnvelope(i int) config.Envelope {
	e := config.Envelope{Change: newChange(historyLength + 1), Text: documentText(i)}
	for v := int64(historyLength); v > 0; v-- {
		e.History = append(e.History, newChange(v))
	}
	return e
}

func newChange(version int64) config.Change {
	return config.Change{
		Version: version,
		ID:      "entry-a-0001-" + strings.Repeat("k", 12),
		By:      "operator@example.org",
		At:      time.Unix(1_700_000_000, 0).UTC(),
	}
}

// instancePair is two instances and their listeners for peer connections.
type instancePair struct {
	instances []platform.Instance
	listeners []net.Listener
}

func newInstancePair() (*instancePair, error) {
	p := &instancePair{}
	for _, id := range []string{"relay", "child"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		p.listeners = append(p.listeners, l)
		p.instances = append(p.instances, platform.Instance{ID: id, FailureDomain: "fd-0", PeerAddress: l.Addr().String()})
	}
	return p, nil
}

// pairFleet is a config.Fleet of two instances, as seen by one of them.
type pairFleet struct {
	instances []platform.Instance
	self      int
}

// Self implements config.Fleet.
func (f *pairFleet) Self() platform.Instance { return f.instances[f.self] }

// Live implements config.Fleet.
func (f *pairFleet) Live() []platform.Instance { return f.instances }

// PickInstances implements config.Fleet. It returns the first instance for relay duties and both
// for any other duty.
func (f *pairFleet) PickInstances(duty string, _ int) []platform.Instance {
	if strings.Contains(duty, "relay") {
		return slices.Clone(f.instances[:1])
	}
	return slices.Clone(f.instances)
}

// Subscribe implements config.Fleet. It ignores the callback, as the fleet never changes.
func (f *pairFleet) Subscribe(func()) {}
