package registry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/platform"
)

// PlatformReturned implements objectwatch.ReturnSink.
func (r *Registry) PlatformReturned() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.returned = true
}

// keepEntries keeps the known entries that the first list after a return of the platform's store
// lacks. An instance whose entry was lost is still alive: without this, homes would move away from
// it and back. The caller holds r.mu.
func (r *Registry) keepEntries(listed []platform.Object) {
	r.returned = false
	kept := make(map[string]platform.Instance)
	for id, i := range r.entries {
		kept[id] = i
	}
	for id, i := range r.kept {
		kept[id] = i
	}
	for _, o := range listed {
		delete(kept, o.Name)
	}
	r.kept, r.keptUntil = kept, r.Clock.Now().Add(returnGrace)
	if len(kept) > 0 {
		r.Log.Warn("Entries of instances were lost by the platform; they stay listed until they are written again.", "entries", len(kept), "for", returnGrace.String())
	}
}

// expireKeptEntries removes kept entries that were not written again within returnGrace.
func (r *Registry) expireKeptEntries(ctx context.Context) {
	for clock.Sleep(ctx, r.Clock, watchPause) == nil {
		if r.dropExpiredEntries() {
			r.InstanceSink.SetInstances(r.knownInstances())
		}
	}
}

// dropExpiredEntries drops the kept entries once returnGrace has passed, and reports whether there
// were any.
func (r *Registry) dropExpiredEntries() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.kept) == 0 || r.Clock.Now().Before(r.keptUntil) {
		return false
	}
	r.kept = nil
	return true
}

// lostOwnEntryInReturn reports whether a return of the platform's store removed this instance's
// entry.
func (r *Registry) lostOwnEntryInReturn() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.kept[r.Self.ID] == r.Self
}

// rewriteOwnEntry writes this instance's entry again after a return of the platform's store, at a
// random time within returnSpread: all instances that started lately do so.
func (r *Registry) rewriteOwnEntry(ctx context.Context, random *rand.Rand) {
	if clock.Sleep(ctx, r.Clock, time.Duration(random.Int64N(int64(returnSpread)))) != nil {
		return
	}
	if err := r.writeOwnEntry(ctx); err != nil {
		r.Log.Warn("Writing the instance's entry failed; will retry.", "error", err)
		r.retryOwnEntry(ctx)
	}
}
