package objectwatch

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/peer"
	"github.com/topazrock/topazrock/internal/platform"
	"github.com/topazrock/topazrock/internal/relaytree"
	"github.com/topazrock/topazrock/internal/result"
)

const (
	// readersKey is the key for picking the readers. There are readersPerDomain in each failure
	// domain: two, because one of them may be dead and still listed.
	readersKey       = "objectwatch.read"
	readersPerDomain = 2
	// maxDirectReaders is the size of a failure domain up to which all its instances read from
	// the platform directly: with so few instances, sharing saves nothing.
	maxDirectReaders = 4
	// fleetWait is how long the first list of a kind waits for the list of instances, which
	// determines the readers, and fleetPoll the polling interval. When a whole fleet starts for
	// the first time, that list takes most of fleetWait to become complete.
	fleetWait = 3 * time.Second
	fleetPoll = 20 * time.Millisecond
	// longPollWait is how long a reader holds a request while nothing changes. Its end bounds
	// the time until an unresponsive reader is detected.
	longPollWait = 5 * time.Second
	// unresponsivePause is how long a reader is not asked after it did not respond.
	unresponsivePause = 5 * time.Second
)

// Sharing reduces the calls to the platform: two instances of each failure domain, the readers,
// list and watch a kind, and the others get lists, changes and proofs that nothing has changed
// from them. The load on the platform thus grows with failure domains and changes, and not with
// instances.
//
// Readers relay the platform's own revisions, so that a follower can switch between readers and
// the platform at any time. A reader can fail in these ways:
//
//   - It has lost the platform. It reports this; its followers ask the other reader and, after a
//     while, the platform itself at a limited rate (directCallLimiter).
//   - It is dead, frozen or partitioned. It does not respond, and its followers react as in the
//     first case.
//   - Its watch misses changes without notice. Its responses to checks carry the age of its last
//     list, which bounds how stale a follower can be.
//   - The platform refuses it but serves others. It asks readers of all failure domains.
//   - It has not seen that the platform's store returned from an older copy. Requests and responses
//     name the era of their revisions. A reader has nothing for a request of a later era, and a
//     follower uses no response of an earlier one, nor one without an era once it knows of any: that
//     is from an instance that is older than eras.
type Sharing struct {
	SharingConfig

	mu    sync.Mutex
	feeds map[platform.Kind]*feed
	// relayed holds the lists received from other instances.
	relayed map[platform.Kind]*relayedList
	// unresponsiveUntil holds the time until which each reader that did not respond is not
	// asked, by instance ID.
	unresponsiveUntil map[string]time.Time
}

// SharingConfig configures a Sharing.
type SharingConfig struct {
	API    platform.API
	Fleet  Fleet
	Caller peer.Caller
	Clock  clock.Clock
	// Rand adds jitter to the calls of instances that have lost their readers. It is guarded by
	// the lock of the Sharing and must not be shared.
	Rand *rand.Rand
	Log  hclog.Logger
	// Metrics is for the followers of this instance; it may be nil.
	Metrics *Metrics
}

// NewSharing returns a Sharing and registers its methods.
func NewSharing(c SharingConfig, r peer.HandlerRegistry) *Sharing {
	c.Log = c.Log.Named("objectwatch")
	if c.Metrics == nil {
		c.Metrics = NewMetrics(nil)
	}
	s := &Sharing{SharingConfig: c, feeds: make(map[platform.Kind]*feed), relayed: make(map[platform.Kind]*relayedList), unresponsiveUntil: make(map[string]time.Time)}
	r.Handle(methodList, s.serveList)
	r.Handle(methodAfter, s.serveAfter)
	r.Handle(methodSince, s.serveSince)
	return s
}

// API returns the platform API with shared calls for one kind. A reader's response is accepted
// only if it is based on a list that is at most maxAge old; zero means no limit.
func (s *Sharing) API(kind platform.Kind, maxAge time.Duration) *SharedAPI {
	f := newFeed()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.feeds[kind] = f
	s.relayed[kind] = newRelayedList()
	return &SharedAPI{API: s.SharingConfig.API, sharing: s, kind: kind, feed: f, relayed: s.relayed[kind], maxAge: maxAge}
}

func (s *Sharing) relayedList(kind platform.Kind) *relayedList {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.relayed[kind]
}

// parent returns the instance from which this one requests its first list: its parent in a relay
// tree with the readers at the root. A reader that sent a list of some hundred kilobytes to
// fifty followers at once over a narrow link would exceed their timeout, and each of them would
// ask again.
func (s *Sharing) parent(kind platform.Kind) (platform.Instance, bool) {
	self := s.Fleet.Self()
	readers, isReader := SelectLocal(s.Fleet, readersKey, readersPerDomain)
	if isReader || kind == platform.KindInstances {
		return platform.Instance{}, false
	}
	return relaytree.New(self.FailureDomain, readers, s.Fleet.Live()).Parent(string(kind), self.ID)
}

func (s *Sharing) feed(kind platform.Kind) *feed {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.feeds[kind]
}

// jitter returns a random duration between d/2 and d.
func (s *Sharing) jitter(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return d/2 + time.Duration(s.Rand.Int64N(int64(d)/2+1))
}

// waitForFleet waits until the list of instances is known, for fleetWait at most. Without the
// list every instance would consider itself a reader, and instances that start together would
// all request everything from the platform.
func (s *Sharing) waitForFleet(ctx context.Context, kind platform.Kind) {
	if kind == platform.KindInstances {
		// This kind is the list of instances itself.
		return
	}
	for deadline := s.Clock.Now().Add(fleetWait); !s.Fleet.IsLoaded() && s.Clock.Now().Before(deadline); {
		if clock.Sleep(ctx, s.Clock, fleetPoll) != nil {
			return
		}
	}
}

// readers returns the readers of this instance's failure domain, or none if this instance calls
// the platform directly.
func (s *Sharing) readers() []platform.Instance {
	if local, _ := SelectLocal(s.Fleet, readersKey, maxDirectReaders+1); len(local) <= maxDirectReaders {
		return nil
	}
	readers, isReader := SelectLocal(s.Fleet, readersKey, readersPerDomain)
	if isReader {
		return nil
	}
	return orderReaders(readers, s.Fleet.Self().ID)
}

// IsReader reports whether this instance reads from the platform for its failure domain.
func (s *Sharing) IsReader() bool {
	_, isReader := SelectLocal(s.Fleet, readersKey, readersPerDomain)
	return isReader
}

// orderReaders sorts readers in an order that depends on the instance, so that each reader
// serves part of the failure domain. With one order for all instances, the first reader would
// send every change to all of them.
func orderReaders(readers []platform.Instance, selfID string) []platform.Instance {
	rank := func(i platform.Instance) uint64 { return xxhash.Sum64String(selfID + "\x00" + i.ID) }
	ordered := slices.Clone(readers)
	slices.SortFunc(ordered, func(a, b platform.Instance) int { return cmp.Compare(rank(a), rank(b)) })
	return ordered
}

// responsive returns the readers without those that recently failed to respond.
func (s *Sharing) responsive(readers []platform.Instance) []platform.Instance {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(readers), func(i platform.Instance) bool { return now.Before(s.unresponsiveUntil[i.ID]) })
}

// recordResponse records whether a reader responds. An error with a result code is a response
// too.
func (s *Sharing) recordResponse(reader platform.Instance, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.Log.Debug("Reader did not serve a request.", "reader", reader.ID, "error", err)
	}
	if _, replied := result.As(err); err == nil || replied {
		delete(s.unresponsiveUntil, reader.ID)
		return
	}
	s.unresponsiveUntil[reader.ID] = s.Clock.Now().Add(unresponsivePause)
}

// pickFallbackReaders returns up to n random readers. For an instance that follows readers they
// are of other failure domains; for one that reads directly, of any.
func (s *Sharing) pickFallbackReaders(n int) []platform.Instance {
	self, hasReaders := s.Fleet.Self(), len(s.readers()) > 0
	var all []platform.Instance
	for _, i := range s.Fleet.PickCapable(readersKey, readersPerDomain) {
		if i.ID != self.ID && !(hasReaders && i.FailureDomain == self.FailureDomain) {
			all = append(all, i)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Rand.Shuffle(len(all), func(a, b int) { all[a], all[b] = all[b], all[a] })
	return all[:min(n, len(all))]
}

// decodeRequest decodes a request and returns it with the feed that it refers to.
func (s *Sharing) decodeRequest(params json.RawMessage) (*feed, request, error) {
	var req request
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, req, fmt.Errorf("objectwatch: question: %w", err)
	}
	f := s.feed(req.Kind)
	if f == nil {
		return nil, req, errFeedUnavailable
	}
	if !platform.ValidEra(req.Era) {
		return nil, req, errInvalidEra
	}
	if req.Era == 0 {
		// The requester is older than eras. It knows no return of the store.
		req.Era = f.era()
	}
	s.SharingConfig.API.Eras().Observe(req.Era)
	return f, req, nil
}

func (s *Sharing) serveList(ctx context.Context, _ string, params json.RawMessage) (any, error) {
	f, req, err := s.decodeRequest(params)
	if err != nil {
		return nil, err
	}
	list := s.requestedList(ctx, f, req)
	if !list.valid || list.revision.Era() < s.SharingConfig.API.Eras().Latest() {
		return nil, errFeedUnavailable
	}
	got, err := f.encodeResponse(list.objects, fullList, list.revision, req)
	if err != nil {
		return nil, err
	}
	s.Metrics.countServed(req, fullList, len(got.Encoded))
	got.AgeMS = s.Clock.Now().Sub(list.asOf).Milliseconds()
	return got, nil
}

// requestedList returns the list that suits a request.
func (s *Sharing) requestedList(ctx context.Context, f *feed, req request) snapshot {
	switch {
	case req.WaitForList:
		return s.availableList(ctx, f, s.relayedList(req.Kind))
	case !req.AnyList:
		return s.directList(ctx, f)
	}
	if s.IsReader() {
		return s.directList(ctx, f)
	}
	if list := f.snapshot(); list.valid {
		return list
	}
	return s.relayedList(req.Kind).snapshot()
}

// directList returns the list that this instance received from the platform. It waits briefly
// for the first one.
func (s *Sharing) directList(ctx context.Context, f *feed) snapshot {
	f.waitForList(ctx, s.Clock, startupListWait, nil)
	return f.snapshot()
}

// availableList returns the list that this instance received from the platform or from another
// instance. It waits for the first one.
func (s *Sharing) availableList(ctx context.Context, f *feed, relayed *relayedList) snapshot {
	f.waitForList(ctx, s.Clock, parentWait, relayed.loadedCh)
	if list := f.snapshot(); list.valid {
		return list
	}
	return relayed.snapshot()
}

func (s *Sharing) serveSince(_ context.Context, _ string, params json.RawMessage) (any, error) {
	f, req, err := s.decodeRequest(params)
	if err != nil {
		return nil, err
	}
	objects, revision, _, err := f.changesAfter(req.after())
	got, err := s.changesResponse(f, objects, revision, req, err)
	if err != nil {
		return nil, err
	}
	got.AgeMS = f.age(s.Clock.Now()).Milliseconds()
	return got, nil
}

func (s *Sharing) serveAfter(ctx context.Context, _ string, params json.RawMessage) (any, error) {
	f, req, err := s.decodeRequest(params)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, longPollWait)
	defer cancel()
	objects, revision, err := f.waitForChanges(ctx, req.after())
	return s.changesResponse(f, objects, revision, req, err)
}

// changesResponse builds the response with the changes after a revision from the results of the
// feed.
func (s *Sharing) changesResponse(f *feed, objects []platform.Object, revision platform.Revision, req request, err error) (response, error) {
	switch {
	case errors.Is(err, platform.ErrCompacted):
		return response{Compacted: true, Era: revision.Era()}, nil
	case err != nil:
		return response{}, errFeedUnavailable
	}
	if len(objects) == 0 {
		return response{Revision: revision.Number(), Era: revision.Era()}, nil
	}
	got, err := f.encodeResponse(objects, req.after(), revision, req)
	s.Metrics.countServed(req, req.after(), len(got.Encoded))
	return got, err
}
