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
	// readDuty is the key by which readers are picked, and readersPerDomain how many of
	// each failure domain there are: two, because one of them may be dead and listed.
	readDuty         = "objectwatch.read"
	readersPerDomain = 2
	// ownReading is up to how many instances of a failure domain all read for
	// themselves: with so few there is nothing to save.
	ownReading = 4
	// fleetWait is how long a kind waits at the start for the list of instances, which
	// names the readers, and fleetPoll the time between two looks. A whole fleet that starts
	// for the first time takes most of it to be listed.
	fleetWait = 3 * time.Second
	fleetPoll = 20 * time.Millisecond
	// afterWait is how long a reader holds a question while nothing changes. A reader that
	// has gone silent is found out by its end.
	afterWait = 5 * time.Second
	// silentFor is how long a reader that did not answer is not asked.
	silentFor = 5 * time.Second
)

// Sharing spares the platform most calls: two instances of each failure domain list and
// watch a kind there, and the others ask one of those, for lists, changes and proofs that
// nothing has changed alike. What is asked of the platform so grows with failure domains
// and changes, and not with instances.
//
// What readers pass on are the platform's own revisions, so that a follower may change
// from one reader to another or to the platform at any moment. The states of a reader:
//
//   - It has lost the platform: it says so, and its followers ask the other reader, and after
//     a while the platform themselves, seldom (ownTries).
//   - Dead, frozen or cut off: it does not answer, and the same follows.
//   - It hears of no change and does not know it: what it tells a follower that checks carries
//     the age of its last list, which bounds how old a follower's knowledge may be.
//   - Refused by a platform that serves others: it asks readers of all failure domains.
type Sharing struct {
	SharingConfig

	mu    sync.Mutex
	feeds map[platform.Kind]*feed
	// copies holds what this instance learned from others.
	copies map[platform.Kind]*listCopy
	// silent is until when readers that did not answer are not asked, by instance.
	silent map[string]time.Time
}

// SharingConfig is what a Sharing is made of.
type SharingConfig struct {
	API    platform.API
	Fleet  Fleet
	Caller peer.Caller
	Clock  clock.Clock
	// Rand spreads the calls of instances that have lost their readers. It is used under
	// the lock of the Sharing only, and must not be shared.
	Rand *rand.Rand
	Log  hclog.Logger
}

// NewSharing returns a Sharing and registers its methods.
func NewSharing(c SharingConfig, r peer.Registry) *Sharing {
	c.Log = c.Log.Named("objectwatch")
	s := &Sharing{SharingConfig: c, feeds: make(map[platform.Kind]*feed), copies: make(map[platform.Kind]*listCopy), silent: make(map[string]time.Time)}
	r.Handle(methodList, s.serveList)
	r.Handle(methodAfter, s.serveAfter)
	r.Handle(methodSince, s.serveSince)
	return s
}

// API returns the platform with the calls for one kind shared. What a reader says counts
// only if the platform has shown it within maxAge; zero sets no bound.
func (s *Sharing) API(kind platform.Kind, maxAge time.Duration) *SharedAPI {
	f := newFeed()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.feeds[kind] = f
	s.copies[kind] = newListCopy()
	return &SharedAPI{API: s.SharingConfig.API, sharing: s, kind: kind, feed: f, copy: s.copies[kind], maxAge: maxAge}
}

func (s *Sharing) copyOf(kind platform.Kind) *listCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copies[kind]
}

// parent returns the instance that this one takes its first list from: its parent in a tree with
// the readers at its root. A reader that sent a list of some hundred kilobytes to fifty followers
// at once over a narrow link would take longer than they wait, and each would ask again.
func (s *Sharing) parent(kind platform.Kind) (platform.Instance, bool) {
	self := s.Fleet.Self()
	readers, reads := OnDuty(s.Fleet, readDuty, readersPerDomain)
	if reads || kind == platform.KindInstances {
		return platform.Instance{}, false
	}
	return relaytree.New(self.FailureDomain, readers, s.Fleet.Live()).Parent(string(kind), self.ID)
}

func (s *Sharing) feed(kind platform.Kind) *feed {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.feeds[kind]
}

// jitter returns a time between half of d and d.
func (s *Sharing) jitter(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return d/2 + time.Duration(s.Rand.Int64N(int64(d)/2+1))
}

// awaitFleet waits until the instances are known, or for a time at most. Without the list
// every instance would take itself for a reader, and all that start together would ask the
// platform for everything.
func (s *Sharing) awaitFleet(ctx context.Context, kind platform.Kind) {
	if kind == platform.KindInstances {
		// This is what names the readers.
		return
	}
	for deadline := s.Clock.Now().Add(fleetWait); !s.Fleet.Known() && s.Clock.Now().Before(deadline); {
		if clock.Sleep(ctx, s.Clock, fleetPoll) != nil {
			return
		}
	}
}

// readers returns the readers of this instance's failure domain; none if it reads for
// itself.
func (s *Sharing) readers() []platform.Instance {
	if near, _ := OnDuty(s.Fleet, readDuty, ownReading+1); len(near) <= ownReading {
		return nil
	}
	readers, self := OnDuty(s.Fleet, readDuty, readersPerDomain)
	if self {
		return nil
	}
	return inOwnOrder(readers, s.Fleet.Self().ID)
}

// inOwnOrder returns readers in an order of the instance's own, so that each of them serves a part of
// the failure domain. In one order for all, the first would tell every change to everyone.
func inOwnOrder(readers []platform.Instance, self string) []platform.Instance {
	rank := func(i platform.Instance) uint64 { return xxhash.Sum64String(self + "\x00" + i.ID) }
	ordered := slices.Clone(readers)
	slices.SortFunc(ordered, func(a, b platform.Instance) int { return cmp.Compare(rank(a), rank(b)) })
	return ordered
}

// answering returns those readers that have not been silent of late.
func (s *Sharing) answering(readers []platform.Instance) []platform.Instance {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(readers), func(i platform.Instance) bool { return now.Before(s.silent[i.ID]) })
}

// noteAnswer keeps in mind whether a reader answers. One that says that it cannot tell does.
func (s *Sharing) noteAnswer(reader platform.Instance, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.Log.Debug("Reader did not serve a question.", "reader", reader.ID, "error", err)
	}
	if _, answered := result.As(err); err == nil || answered {
		delete(s.silent, reader.ID)
		return
	}
	s.silent[reader.ID] = s.Clock.Now().Add(silentFor)
}

// rescuers returns some readers: of other failure domains for an instance that follows readers of
// its own, of any for one that reads itself.
func (s *Sharing) rescuers(n int) []platform.Instance {
	self, follows := s.Fleet.Self(), len(s.readers()) > 0
	var all []platform.Instance
	for _, i := range s.Fleet.Pick(readDuty, readersPerDomain) {
		if i.ID != self.ID && !(follows && i.FailureDomain == self.FailureDomain) {
			all = append(all, i)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Rand.Shuffle(len(all), func(a, b int) { all[a], all[b] = all[b], all[a] })
	return all[:min(n, len(all))]
}

// asked returns the feed that a question is about, and the question.
func (s *Sharing) asked(params json.RawMessage) (*feed, question, error) {
	var q question
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, q, fmt.Errorf("objectwatch: question: %w", err)
	}
	f := s.feed(q.Kind)
	if f == nil {
		return nil, q, errNoFeed
	}
	return f, q, nil
}

func (s *Sharing) serveList(ctx context.Context, _ string, params json.RawMessage) (any, error) {
	f, q, err := s.asked(params)
	if err != nil {
		return nil, err
	}
	var list knownList
	if q.Waits {
		list = s.anyList(ctx, f, s.copyOf(q.Kind))
	} else {
		list = s.ownList(ctx, f)
	}
	if !list.known {
		return nil, errNoFeed
	}
	got, err := f.packed(list.objects, wholeList, list.revision, q)
	if err != nil {
		return nil, err
	}
	got.AgeMS = s.Clock.Now().Sub(list.provenAt).Milliseconds()
	return got, nil
}

// ownList returns what this instance has listed itself, and waits a little for its first list.
func (s *Sharing) ownList(ctx context.Context, f *feed) knownList {
	f.awaitKnown(ctx, s.Clock, firstWait, nil)
	return f.list()
}

// anyList returns what this instance has listed itself or learned from others, and waits until
// it has.
func (s *Sharing) anyList(ctx context.Context, f *feed, c *listCopy) knownList {
	f.awaitKnown(ctx, s.Clock, parentWait, c.learned)
	if list := f.list(); list.known {
		return list
	}
	return c.list()
}

func (s *Sharing) serveSince(_ context.Context, _ string, params json.RawMessage) (any, error) {
	f, q, err := s.asked(params)
	if err != nil {
		return nil, err
	}
	objects, revision, _, err := f.look(q.After)
	got, err := s.changed(f, objects, revision, q, err)
	if err != nil {
		return nil, err
	}
	got.AgeMS = f.age(s.Clock.Now()).Milliseconds()
	return got, nil
}

func (s *Sharing) serveAfter(ctx context.Context, _ string, params json.RawMessage) (any, error) {
	f, q, err := s.asked(params)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, afterWait)
	defer cancel()
	objects, revision, err := f.after(ctx, q.After)
	return s.changed(f, objects, revision, q, err)
}

// changed answers a question for what came after a revision with what the feed holds.
func (s *Sharing) changed(f *feed, objects []platform.Object, revision int64, q question, err error) (answer, error) {
	switch {
	case errors.Is(err, platform.ErrCompacted):
		return answer{Compacted: true}, nil
	case err != nil:
		return answer{}, errNoFeed
	}
	if len(objects) == 0 {
		return answer{Revision: revision}, nil
	}
	return f.packed(objects, q.After, revision, q)
}
