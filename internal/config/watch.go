package config

import (
	"context"
	"time"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/platform"
)

const (
	// unlisted is the revision of a watch that must list first.
	unlisted = -1
	// relayCheckInterval is how often an instance that is no relay looks whether it has
	// become one.
	relayCheckInterval = 500 * time.Millisecond
	// peerSyncTimeout is how long a starting instance that is no relay waits for
	// peers before it lists the platform.
	peerSyncTimeout = 5 * time.Second
	// minBackoff and maxBackoff bound the wait after a failed call.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 3 * time.Second
)

// watcher follows the platform's documents.
type watcher struct {
	store    *Store
	revision int64
	backoff  time.Duration
	// failing says that the last call failed.
	failing bool
}

// watchLoop follows the platform while this instance is a relay. Another
// instance lists the platform only if no peer tells it anything for a while
// after its start: when a failure domain returns, a thousand instances start at
// one moment, and each list holds every document.
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

// step lists or watches once and waits after a failure. After any failure it
// lists again: the platform may have restarted with older revisions, and may
// since have passed the one that the watch would resume from.
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

// note logs when the platform is lost and when it is back.
func (w *watcher) logTransition(err error) {
	switch failed := err != nil; {
	case failed && !w.failing:
		w.store.log.Warn("Platform's watch failed. Documents in force stay.", "error", err)
	case !failed && w.failing:
		w.store.log.Info("Platform answers again.")
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

// list reads all documents and brings back what the platform has lost.
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

// take adopts stored documents and reports whether one of them was lower than
// what is in force.
func (w *watcher) adoptObjects(objects []platform.Object) (lower bool) {
	for _, o := range objects {
		e, err := decodeObject(o)
		if err != nil {
			w.store.metrics.arrivals.WithLabelValues(string(FromPlatform), string(Invalid)).Inc()
			w.store.log.Error("Stored value kept out.", "service", o.Name, "error", err)
			continue
		}
		if e.Version > 0 && w.store.adoptVersion(o.Name, e, FromPlatform) == Lower {
			lower = true
		}
	}
	return lower
}
