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
	// remembered is how many changes a stored document carries with it. At
	// seven changes a document and day, all that a document remembers is used
	// up within days.
	remembered = 50
	// quietWindow and quietBytes tell digests alone from the pushes of a start.
	quietWindow = 2 * time.Second
	quietBytes  = 8 << 10
	// restTimeout bounds the wait for the pushes of a start to end.
	restTimeout = time.Minute
)

// twoStores are two instances of one failure domain with their documents: a
// relay that watches the platform, and an instance that the relay pushes to.
type twoStores struct {
	relay, child *config.Store
	network      *countingNetwork
	// before is the memory in use when the platform held the documents and
	// neither instance was there.
	before float64
	stop   func()
}

// startStores starts both with n documents in the platform, and waits until
// all are in force.
func startStores(ctx context.Context, o Options, n int) (*twoStores, error) {
	api := standin.NewStore()
	for i := range n {
		value, err := json.Marshal(storedEnvelope(i))
		if err != nil {
			return nil, err
		}
		if _, err := api.Put(ctx, platform.KindService, serviceName(i), value, 0); err != nil {
			return nil, err
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	t := &twoStores{network: &countingNetwork{}, before: memory()}
	var parts sync.WaitGroup
	var ends []func()
	t.stop = func() {
		cancel()
		parts.Wait()
		for _, end := range ends {
			end()
		}
	}
	pair, err := newPair()
	if err != nil {
		t.stop()
		return nil, err
	}
	for i, address := range pair.list {
		client := peer.NewClient(address.ID, t.network)
		server := peer.NewServer(hclog.NewNullLogger())
		s := config.New(config.Options{
			API:      api,
			Clock:    clock.System{},
			Rand:     rand.New(rand.NewPCG(o.Seed, uint64(i))),
			Fleet:    &pairFleet{pair: pair.list, self: i},
			Peers:    client,
			Registry: server,
		})
		go func() { _ = server.Serve(pair.listeners[i]) }()
		parts.Go(func() { _ = s.Run(ctx) })
		ends = append(ends, client.Close, server.Close, func() { pair.listeners[i].Close() })
		if i == 0 {
			t.relay = s
		} else {
			t.child = s
		}
	}
	err = waitUntil(ctx, func() bool { return len(t.relay.Versions()) == n && len(t.child.Versions()) == n })
	if err == nil {
		err = t.waitQuiet(ctx)
	}
	if err != nil {
		t.stop()
	}
	return t, err
}

// waitQuiet waits until what a starting instance pushes has been sent.
func (t *twoStores) waitQuiet(ctx context.Context) error {
	for begin := time.Now(); time.Since(begin) < restTimeout; {
		sent := t.network.bytes.Load()
		if err := clock.Sleep(ctx, clock.System{}, quietWindow); err != nil {
			return err
		}
		if t.network.bytes.Load()-sent < quietBytes {
			return nil
		}
	}
	return errors.New("instances do not come to rest")
}

func serviceName(i int) string { return fmt.Sprintf("service-%d", i) }

// storedEnvelope returns document i with a full history.
func storedEnvelope(i int) config.Envelope {
	e := config.Envelope{Change: storedChange(remembered + 1), Text: documentText(i)}
	for v := int64(remembered); v > 0; v-- {
		e.History = append(e.History, storedChange(v))
	}
	return e
}

func storedChange(version int64) config.Change {
	return config.Change{
		Version: version,
		ID:      "entry-a-0001-" + strings.Repeat("k", 12),
		By:      "operator@example.org",
		At:      time.Unix(1_700_000_000, 0).UTC(),
	}
}

// pair is the two instances and where their peers connect.
type pair struct {
	list      []platform.Instance
	listeners []net.Listener
}

func newPair() (*pair, error) {
	p := &pair{}
	for _, id := range []string{"relay", "child"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		p.listeners = append(p.listeners, l)
		p.list = append(p.list, platform.Instance{ID: id, FailureDomain: "fd-0", PeerAddress: l.Addr().String()})
	}
	return p, nil
}

// pairFleet is the view of one of two instances.
type pairFleet struct {
	pair []platform.Instance
	self int
}

// Self implements config.Fleet.
func (f *pairFleet) Self() platform.Instance { return f.pair[f.self] }

// Live implements config.Fleet.
func (f *pairFleet) Live() []platform.Instance { return f.pair }

// Pick implements config.Fleet. The first instance is the relay; for any other
// duty both are picked.
func (f *pairFleet) Pick(duty string, _ int) []platform.Instance {
	if strings.Contains(duty, "relay") {
		return slices.Clone(f.pair[:1])
	}
	return slices.Clone(f.pair)
}

// Subscribe implements config.Fleet. The view never changes.
func (f *pairFleet) Subscribe(func()) {}
