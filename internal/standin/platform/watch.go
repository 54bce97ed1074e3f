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

// watch serves a watch from the number of a revision. The revision that it returns names the era
// of the response, also with ErrCompacted.
func (s *Store) watch(ctx context.Context, kind platform.Kind, after int64, wait time.Duration) ([]platform.Object, platform.Revision, error) {
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
			revision = platform.NewRevision(era, after)
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

func (s *Store) changesAfter(kind platform.Kind, after int64) ([]platform.Object, platform.Revision, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.collectionFor(kind)
	switch {
	case s.faults.Outage:
		return nil, 0, nil, platform.ErrUnavailable
	case after < c.compactedRevision || after > s.revision:
		return nil, s.currentRevision(), nil, platform.ErrCompacted
	}
	return s.changedSince(kind, after), s.currentRevision(), s.changed, nil
}

// changedSince returns the objects changed after the number of a revision, in the order of the
// changes. The caller holds s.mu.
func (s *Store) changedSince(kind platform.Kind, after int64) []platform.Object {
	objects := []platform.Object{}
	for _, o := range s.collectionFor(kind).objects {
		if o.Revision.Number() > after {
			objects = append(objects, s.inEra(o))
		}
	}
	slices.SortFunc(objects, func(a, b platform.Object) int { return cmp.Compare(a.Revision, b.Revision) })
	return objects
}
