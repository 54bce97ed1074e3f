package platform

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/topazrock/topazrock/internal/platform"
)

// defaultWait is how long a watch waits for a change before it returns without one.
const defaultWait = 10 * time.Second

// Compact discards the history of a kind: a watch from an older revision fails with
// ErrCompacted and its client must list again.
func (s *Store) Compact(kind platform.Kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.collectionFor(kind)
	c.compactedRevision = s.revision
}

// Watch implements platform.API. It waits at most ten seconds.
func (s *Store) Watch(ctx context.Context, kind platform.Kind, after int64) ([]platform.Object, int64, error) {
	return s.watch(ctx, kind, after, defaultWait)
}

func (s *Store) watch(ctx context.Context, kind platform.Kind, after int64, wait time.Duration) ([]platform.Object, int64, error) {
	if err := s.beginCall(ctx, CallWatch); err != nil {
		return nil, 0, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	era := s.Era()
	for {
		if s.Era() != era {
			return nil, 0, platform.ErrUnavailable
		}
		objects, revision, changed, err := s.changesAfter(kind, after)
		suppressEvents := s.Faults().SuppressWatchEvents
		if err != nil || len(objects) > 0 && !suppressEvents {
			return objects, revision, err
		}
		if suppressEvents {
			revision = after
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

func (s *Store) changesAfter(kind platform.Kind, after int64) ([]platform.Object, int64, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.collectionFor(kind)
	switch {
	case s.faults.Outage:
		return nil, 0, nil, platform.ErrUnavailable
	case after < c.compactedRevision || after > s.revision:
		return nil, 0, nil, platform.ErrCompacted
	}
	return c.objectsAfter(after), s.revision, s.changed, nil
}

// objectsAfter returns the objects changed after a revision, in order of their revisions.
func (c *collection) objectsAfter(revision int64) []platform.Object {
	objects := []platform.Object{}
	for _, o := range c.objects {
		if o.Revision > revision {
			objects = append(objects, o)
		}
	}
	slices.SortFunc(objects, func(a, b platform.Object) int { return cmp.Compare(a.Revision, b.Revision) })
	return objects
}
