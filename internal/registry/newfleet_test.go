package registry

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/membership"
	"github.com/topazrock/topazrock/internal/objectwatch"
	"github.com/topazrock/topazrock/internal/peer"
	"github.com/topazrock/topazrock/internal/platform"
	"github.com/topazrock/topazrock/internal/standin/peernet"
	standin "github.com/topazrock/topazrock/internal/standin/platform"
)

const (
	// storeLinkRate and instanceLinkRate are in bytes per second.
	storeLinkRate    = 125e6
	instanceLinkRate = 2.5e6
	// storeTimeout is when an instance gives up a call to the store.
	storeTimeout = time.Second
	// peerLatency is the time of a call between two busy instances.
	peerLatency = 20 * time.Millisecond
	// storeLatency is the time of a call to the store.
	storeLatency = 4 * time.Millisecond
	// entryBytes is the size of an instance's entry in a response of the store.
	entryBytes = 300
)

// sharedLink transfers one response at a time.
type sharedLink struct {
	rate float64

	mu        sync.Mutex
	busyUntil time.Time
	bytes     int
}

// transfer queues bytes and waits until they have been transferred, or until ctx ends. Bytes that were
// queued are transferred all the same.
func (l *sharedLink) transfer(ctx context.Context, bytes int) error {
	l.mu.Lock()
	from := time.Now()
	if l.busyUntil.After(from) {
		from = l.busyUntil
	}
	l.busyUntil = from.Add(time.Duration(float64(bytes) / l.rate * float64(time.Second)))
	l.bytes += bytes
	wait := time.Until(l.busyUntil)
	l.mu.Unlock()
	return clock.Sleep(ctx, clock.System{}, wait)
}

// linkedStore is the store as an instance calls it over the store's link.
type linkedStore struct {
	platform.API
	fleet *newFleet
}

// List implements platform.API.
func (s linkedStore) List(ctx context.Context, kind platform.Kind) ([]platform.Object, platform.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := clock.Sleep(ctx, clock.System{}, storeLatency); err != nil {
		return nil, 0, platform.ErrUnavailable
	}
	objects, revision, err := s.API.List(ctx, kind)
	if err == nil {
		s.fleet.countList(len(objects))
		err = s.fleet.storeLink.transfer(ctx, entryBytes*len(objects))
	}
	if err != nil {
		return nil, 0, platform.ErrUnavailable
	}
	return objects, revision, nil
}

// ListStale implements platform.API.
func (s linkedStore) ListStale(ctx context.Context, kind platform.Kind) ([]platform.Object, platform.Revision, error) {
	return s.List(ctx, kind)
}

// Put implements platform.API.
func (s linkedStore) Put(ctx context.Context, kind platform.Kind, name string, value []byte, ifVersion platform.Revision) (platform.Object, error) {
	if err := clock.Sleep(ctx, clock.System{}, storeLatency); err != nil {
		return platform.Object{}, platform.ErrUnavailable
	}
	return s.API.Put(ctx, kind, name, value, ifVersion)
}

// linkedCaller calls over the link of the instance that answers.
type linkedCaller struct {
	peer.Caller
	fleet *newFleet
}

// Call implements peer.Caller.
func (c linkedCaller) Call(ctx context.Context, address, method string, params, reply any) error {
	if err := clock.Sleep(ctx, clock.System{}, peerLatency); err != nil {
		return peer.ErrNotSent
	}
	var raw json.RawMessage
	if err := c.Caller.Call(ctx, address, method, params, &raw); err != nil {
		return err
	}
	if err := c.fleet.links[address].transfer(ctx, len(raw)); err != nil {
		return err
	}
	if reply == nil {
		return nil
	}
	return json.Unmarshal(raw, reply)
}

// newFleet is a fleet of one failure domain that starts for the first time.
type newFleet struct {
	storeLink *sharedLink
	links     map[string]*sharedLink
	// views are those of the instances that are in order.
	views []*membership.Members

	mu    sync.Mutex
	lists int
}

// countList counts a list that is not empty.
func (f *newFleet) countList(objects int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if objects > 0 {
		f.lists++
	}
}

// fleetFault is what is wrong with every tenth instance of a fleet.
type fleetFault string

const (
	noFault fleetFault = "none"
	// dead instances have written their entries and answer no call.
	dead fleetFault = "dead"
	// stuck instances take announcements and provide no list.
	stuck fleetFault = "stuck"
	// earlierBuild instances do not know announcements.
	earlierBuild fleetFault = "earlier build"
	// refused instances get no response from the store.
	refused fleetFault = "refused by the store"
)

func (f *newFleet) start(ctx context.Context, running *sync.WaitGroup, n int, fault fleetFault, announces bool) {
	store, net := standin.NewStore(), peernet.New()
	for k := range n {
		address := fmt.Sprintf("10.0.%d.%d:7001", k/250, k%250)
		f.links[address] = &sharedLink{rate: instanceLinkRate}
		self := platform.Instance{ID: fmt.Sprint("i", k), FailureDomain: "a", PeerAddress: address}
		view, endpoint := standin.NewView(store), net.Endpoint(address)
		caller := linkedCaller{endpoint, f}
		members := membership.New(membership.Options{API: view, Clock: clock.System{}, Self: self, PerFailureDomain: 1})
		api := linkedStore{view, f}
		sharing := objectwatch.NewSharing(objectwatch.SharingConfig{API: api, Fleet: members, Caller: caller, Clock: clock.System{},
			Rand: rand.New(rand.NewPCG(uint64(k), 2)), Log: hclog.NewNullLogger()}, endpoint)
		entries := sharing.API(platform.KindInstances, 0)
		c := Config{API: api, EntriesAPI: entries, ListRelay: entries, Self: self, InstanceSink: members, Clock: clock.System{},
			Seed: uint64(k), Log: hclog.NewNullLogger(), Peers: caller}
		if !announces {
			c.ListRelay, c.Peers = nil, nil
		}
		r := New(c)
		r.RegisterHandlers(endpoint)
		if k%10 == 9 && fault != noFault {
			breakInstance(fault, endpoint, address, view, net)
		} else {
			f.views = append(f.views, members)
		}
		running.Go(func() { r.Run(ctx) })
	}
}

// breakInstance applies a fault to an instance.
func breakInstance(fault fleetFault, endpoint peernet.Endpoint, address string, view *standin.View, net *peernet.Network) {
	block := func(ctx context.Context, _ string, _ json.RawMessage) (any, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	switch fault {
	case dead:
		net.SetDisconnected(address, true)
	case stuck:
		endpoint.Handle(methodAnnounce, func(context.Context, string, json.RawMessage) (any, error) { return struct{}{}, nil })
		endpoint.Handle("objectwatch.list", block)
	case earlierBuild:
		endpoint.Handle(methodAnnounce, block)
	case refused:
		view.SetDisconnected(true)
	}
}

// knowing returns how many instances know at least the given number of others.
func (f *newFleet) knowing(atLeast int) int {
	count := 0
	for _, v := range f.views {
		if len(v.Live()) >= atLeast {
			count++
		}
	}
	return count
}

// newFleetResult is what the start of a fleet cost until all instances knew each other.
type newFleetResult struct {
	lists, storeBytes int
	took              time.Duration
	known, wanted     int
}

// startNewFleet starts n instances and waits until all know the listed ones, for at most limit.
func startNewFleet(t *testing.T, n int, fault fleetFault, announces bool, limit time.Duration) (result newFleetResult) {
	synctest.Test(t, func(t *testing.T) {
		f := &newFleet{storeLink: &sharedLink{rate: storeLinkRate}, links: make(map[string]*sharedLink)}
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		start := time.Now()
		f.start(ctx, &running, n, fault, announces)
		listed := n
		if fault == refused {
			listed = n - n/10
		}
		result.wanted = len(f.views)
		for result.known < result.wanted && time.Since(start) < limit {
			time.Sleep(50 * time.Millisecond)
			result.known = f.knowing(listed)
		}
		result.took = time.Since(start)
		cancel()
		running.Wait()
		result.lists, result.storeBytes = f.lists, f.storeLink.bytes
	})
	return result
}

const (
	// maxListsOfStart is the number of lists that the store may answer while a failure domain starts,
	// whatever its size.
	maxListsOfStart = 24
	// startLimit is the time until all instances of a new fleet know each other.
	startLimit = 4 * time.Second
)

// Load pattern: all instances of a failure domain start for the first time, with every tenth one out
// of order. Guards against lists of all instances for each instance, which saturate the link of the
// store until no instance gets one.
func TestNewFleetListsItselfAFewTimes(t *testing.T) {
	for _, n := range newFleetSizes {
		for _, fault := range []fleetFault{noFault, dead, earlierBuild, refused} {
			t.Run(fmt.Sprintf("%d instances %s", n, fault), func(t *testing.T) {
				is := is.New(t)
				got := startNewFleet(t, n, fault, true, 10*time.Second)
				t.Logf("%d know all after %v, %d lists, %d kB from the store", got.known, got.took, got.lists, got.storeBytes/1000)
				is.Equal(got.known, got.wanted)
				is.True(got.took <= startLimit)
				is.True(got.lists <= maxListsOfStart)
			})
		}
	}
}

// Guards against a part of the fleet that never learns of the others because an inner node of the tree
// has taken the announcement and provides no list: its subtree lists by itself.
func TestNewFleetStartsBelowStuckInstances(t *testing.T) {
	is := is.New(t)
	const n = 100
	got := startNewFleet(t, n, stuck, true, 20*time.Second)
	t.Logf("%d know all after %v, %d lists", got.known, got.took, got.lists)
	is.Equal(got.known, got.wanted)
	is.True(got.took <= 2*startLimit+pullTimeout)
}

// Guards against announcements from a faulty instance that make others call arbitrary numbers of
// addresses.
func TestInvalidAnnouncementsAreRejected(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{`{`, `{}`, `{"targets":["a"]}`, `{"source":1}`} {
		_, err := decodeAnnouncement(json.RawMessage(text))
		is.True(err != nil)
	}
	many, err := json.Marshal(announcement{Source: "a", Targets: make([]string, maxAnnounceTargets+1)})
	is.NoErr(err)
	_, err = decodeAnnouncement(many)
	is.True(err != nil)
	_, err = decodeAnnouncement(json.RawMessage(`{"source":"a","targets":["b"]}`))
	is.NoErr(err)
}

// Guards against small instances as inner nodes where larger ones are there, and against targets that
// are lost or doubled.
func TestLargeInstancesPassAnnouncementsOn(t *testing.T) {
	is := is.New(t)
	self := platform.Instance{ID: "self", FailureDomain: "a"}
	known := []platform.Instance{self, {ID: "far", FailureDomain: "b", PeerAddress: "far"}}
	for k := range 100 {
		i := platform.Instance{ID: fmt.Sprint("i", k), FailureDomain: "a", PeerAddress: fmt.Sprint("p", k), Capacity: 0.2}
		if k >= 90 {
			i.Capacity = 1.6
		}
		known = append(known, i)
	}
	targets := announceTargets(self, known)
	unique := make(map[string]bool)
	for _, a := range targets {
		unique[a] = true
	}
	is.Equal(len(targets), 100)
	is.Equal(len(unique), 100)
	is.True(!unique["far"] && !unique[""])
	for _, part := range splitTargets(targets, announceDegree) {
		is.True(len(part) >= 16)
		var k int
		_, err := fmt.Sscanf(part[0], "p%d", &k)
		is.NoErr(err)
		is.True(k >= 90)
	}
}
