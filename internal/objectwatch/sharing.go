package objectwatch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/topazrock/topazrock/internal/peer"
	"github.com/topazrock/topazrock/internal/platform"
	"github.com/topazrock/topazrock/internal/result"
)

const (
	// methodList and methodAfter ask an instance for what its feed of a kind holds, and
	// for what came after a revision.
	methodList  = "objectwatch.list"
	methodAfter = "objectwatch.after"
	// readDuty is the key by which readers are picked, and readersPerDomain how many of
	// each failure domain there are: two, because one of them may be dead and listed.
	readDuty         = "objectwatch.read"
	readersPerDomain = 2
	// ownReading is up to how many instances of a failure domain all read for
	// themselves: with so few there is nothing to save.
	ownReading = 4
	// listTimeout bounds a reader's list, many times a slow answer.
	listTimeout = 300 * time.Millisecond
	// afterWait is how long a reader holds a question while nothing changes, and
	// afterGrace what its answer may take beside.
	afterWait  = 10 * time.Second
	afterGrace = time.Second
)

// Sharing spares the platform most watches: two instances of each failure domain follow a
// kind there, and the others follow one of those. With 77 instances each change of a
// member's entry ended 77 watches, which began anew: half of all calls on a calm day.
//
// What readers pass on are the platform's own revisions, so that a follower may change
// from one reader to another or to the platform at any moment. A reader that has lost the
// platform says so, and its followers ask the platform themselves. A reader that hears
// nothing and does not know it is found out as a watch of the platform is: by the
// followers' own lists at an interval (Config.Check), which are not shared.
type Sharing struct {
	api    platform.API
	fleet  Fleet
	caller peer.Caller

	mu    sync.Mutex
	feeds map[platform.Kind]*feed
}

// NewSharing returns a Sharing and registers its methods.
func NewSharing(api platform.API, f Fleet, c peer.Caller, r peer.Registry) *Sharing {
	s := &Sharing{api: api, fleet: f, caller: c, feeds: make(map[platform.Kind]*feed)}
	r.Handle(methodList, s.serveList)
	r.Handle(methodAfter, s.serveAfter)
	return s
}

// API returns the platform with the lists and watches of one kind shared.
func (s *Sharing) API(kind platform.Kind) platform.API {
	f := newFeed()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.feeds[kind] = f
	return &sharedAPI{API: s.api, sharing: s, kind: kind, feed: f}
}

func (s *Sharing) feed(kind platform.Kind) *feed {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.feeds[kind]
}

// readers returns the readers of this instance's failure domain; none if it reads for
// itself.
func (s *Sharing) readers() []platform.Instance {
	if near, _ := OnDuty(s.fleet, readDuty, ownReading+1); len(near) <= ownReading {
		return nil
	}
	readers, self := OnDuty(s.fleet, readDuty, readersPerDomain)
	if self {
		return nil
	}
	return readers
}

// question asks for a kind, from a revision on.
type question struct {
	Kind  platform.Kind `json:"kind"`
	After int64         `json:"after,omitempty"`
}

// answer is what a feed holds. Compacted says that it does not reach back so far.
type answer struct {
	Objects   []platform.Object `json:"objects"`
	Revision  int64             `json:"revision"`
	Compacted bool              `json:"compacted,omitempty"`
}

// errNoFeed says that this instance cannot tell.
var errNoFeed = result.New(result.NotReady, "the platform is not followed here")

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

func (s *Sharing) serveList(_ context.Context, _ string, params json.RawMessage) (any, error) {
	f, _, err := s.asked(params)
	if err != nil {
		return nil, err
	}
	objects, revision, ok := f.list()
	if !ok {
		return nil, errNoFeed
	}
	return answer{Objects: objects, Revision: revision}, nil
}

func (s *Sharing) serveAfter(ctx context.Context, _ string, params json.RawMessage) (any, error) {
	f, q, err := s.asked(params)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, afterWait)
	defer cancel()
	objects, revision, err := f.after(ctx, q.After)
	switch {
	case errors.Is(err, platform.ErrCompacted):
		return answer{Compacted: true}, nil
	case err != nil:
		return nil, errNoFeed
	}
	return answer{Objects: objects, Revision: revision}, nil
}
