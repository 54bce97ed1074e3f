package config

import (
	"context"
	"time"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/platform"
)

const (
	// unlisted is the revision of a watcher that must list before it can watch.
	unlisted = -1
	// relayCheckInterval is how often an instance that is not a relay checks
	// whether it has become one.
	relayCheckInterval = 500 * time.Millisecond
	// peerSyncTimeout is how long a starting instance that is not a relay waits
	// for documents from peers before it lists the platform.
	peerSyncTimeout = 5 * time.Second
	// minBackoff and maxBackoff are the limits of the wait after a failed call.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 3 * time.Second
)

// watcher lists and watches the platform's documents.
type watcher struct {
	store    *Store
	revision platform.Revision
	backoff  time.Duration
	// failing reports that the last list or watch failed.
	failing bool
}

// watchLoop watches the platform while this instance is a relay. An instance
// that is not a relay lists the platform only if it receives no documents from
// peers within peerSyncTimeout of its start: when a failure domain recovers, a
// thousand instances start at the same time, and each list contains every
// document.
func (s *Store) watchLoop(ctx context.Context) {
	s.waitForPeers(ctx)
	w := &watcher{store: s, revision: unlisted}
	deadline := s.options.Clock.Now().Add(peerSyncTimeout)
	for ctx.Err() == nil {
		synced := s.hasSynced()
		if s.topology.isRelay() || (!synced && s.options.Clock.Now().After(deadline)) {
			w.runOnce(ctx)
			continue
		}
		if synced {
			s.recordCallResult(remotePlatform, errSyncedFromPeers)
		}
		w.revision = unlisted
		_ = clock.Sleep(ctx, s.options.Clock, s.jittered(relayCheckInterval))
	}
}

// runOnce lists or watches once and waits after a failure. After any failure
// the next call lists: the platform may have restarted with lower revisions and
// then reached the revision that the watch would resume from, so that the watch
// would miss changes without an error.
func (w *watcher) runOnce(ctx context.Context) {
	err := w.listOrWatch(ctx)
	if ctx.Err() != nil {
		return
	}
	w.logTransition(err)
	if err == nil {
		w.backoff = minBackoff
		return
	}
	w.revision = unlisted
	w.store.metrics.watches.WithLabelValues("failed").Inc()
	_ = clock.Sleep(ctx, w.store.options.Clock, w.store.jittered(max(w.backoff, minBackoff)))
	w.backoff = min(2*max(w.backoff, minBackoff), maxBackoff)
}

// logTransition logs when the watch starts to fail and when it recovers.
func (w *watcher) logTransition(err error) {
	switch failed := err != nil; {
	case failed && !w.failing:
		w.store.log.Warn("Platform watch failed. Current documents stay in effect.", "error", err)
	case !failed && w.failing:
		w.store.log.Info("Platform watch recovered.")
	}
	w.failing = err != nil
}

func (w *watcher) listOrWatch(ctx context.Context) error {
	if w.revision == unlisted {
		return w.listAll(ctx)
	}
	objects, revision, err := w.store.options.API.Watch(ctx, platform.KindService, w.revision)
	if err != nil {
		return err
	}
	w.store.metrics.watches.WithLabelValues("answered").Inc()
	if w.adoptObjects(objects) || revision < w.revision {
		w.revision = unlisted
		return nil
	}
	w.revision = revision
	return nil
}

// listAll reads all documents and restores those that the platform has lost.
func (w *watcher) listAll(ctx context.Context) error {
	objects, revision, err := w.store.options.API.List(ctx, platform.KindService)
	w.store.recordCallResult(remotePlatform, err)
	if err != nil {
		return err
	}
	w.store.metrics.watches.WithLabelValues("listed").Inc()
	w.adoptObjects(objects)
	if w.store.restoreDocuments(ctx, objects) {
		return clock.Sleep(ctx, w.store.options.Clock, w.store.jittered(restoreInterval))
	}
	w.revision = revision
	return nil
}

// adoptObjects adopts stored documents and reports whether any of them had a
// lower version than the current one.
func (w *watcher) adoptObjects(objects []platform.Object) (lower bool) {
	for _, o := range objects {
		e, err := decodeObject(o)
		if err != nil {
			w.store.metrics.arrivals.WithLabelValues(string(FromPlatform), string(VersionInvalid)).Inc()
			w.store.log.Error("Rejected a stored value that cannot be decoded.", "service", o.Name, "error", err)
			continue
		}
		if e.Version > 0 && w.store.adoptVersion(o.Name, e, FromPlatform) == VersionLower {
			lower = true
		}
	}
	return lower
}
