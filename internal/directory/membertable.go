package directory

import (
	"time"

	"github.com/topazrock/topazrock/internal/platform"
)

// missingGrace is how long a missing entry still counts. Entries can expire while the platform
// is down. Members that are alive write them again within about two seconds of the platform's
// return; an entry that is still missing after that is removed.
const missingGrace = 2500 * time.Millisecond

// memberTable holds the members' entries. It does no I/O and is guarded by Directory.mu.
type memberTable struct {
	entries map[string]*memberEntry
	// platformReachable reports whether the platform answers; reachableSince is when it last
	// became reachable.
	platformReachable bool
	reachableSince    time.Time
	// returnedAt is when the platform's store last returned from an older copy. departed holds the
	// members that had left by then or have left since.
	returnedAt time.Time
	departed   map[string]departedMember
	// byPlace holds the IDs of the entries that name a place. missing holds those of missing entries.
	byPlace map[place]map[string]bool
	missing map[string]bool
	// touched holds the places whose entries changed since the last call of changes.
	touched map[place]bool
}

// place is an address as that of a member of one group. Entries of two groups may name an address: that of
// a member that is gone, or one that another writer has left. Neither hides the other group's member.
type place string

// placeOf returns the place of an address in a group. Names of groups contain no line breaks.
func placeOf(group, address string) place { return place(group + "\n" + address) }

// departedMember is a member whose entry was removed after it left.
type departedMember struct {
	started int64
	at      time.Time
}

type memberEntry struct {
	upstream platform.Upstream
	revision platform.Revision
	// missingSince is when the entry was found missing; zero while it exists.
	missingSince time.Time
	// refutedAt is when the process at the address last denied to be this member; zero if it has not.
	refutedAt time.Time
}

func newMemberTable() *memberTable {
	return &memberTable{
		entries: make(map[string]*memberEntry), departed: make(map[string]departedMember),
		byPlace: make(map[place]map[string]bool), missing: make(map[string]bool), touched: make(map[place]bool),
	}
}

// store replaces an entry.
func (t *memberTable) store(e *memberEntry) {
	id, at := e.upstream.ID, e.place()
	t.remove(id)
	t.entries[id] = e
	if t.byPlace[at] == nil {
		t.byPlace[at] = make(map[string]bool)
	}
	t.byPlace[at][id] = true
	t.touched[at] = true
}

// remove deletes an entry if there is one.
func (t *memberTable) remove(id string) {
	e := t.entries[id]
	if e == nil {
		return
	}
	at := e.place()
	delete(t.entries, id)
	delete(t.missing, id)
	delete(t.byPlace[at], id)
	if len(t.byPlace[at]) == 0 {
		delete(t.byPlace, at)
	}
	t.touched[at] = true
}

// update stores a member's entry, unless its revision is older than the stored one, and reports
// whether anything changed.
func (t *memberTable) update(u platform.Upstream, revision platform.Revision, now time.Time) bool {
	e := t.entries[u.ID]
	if e != nil && revision < e.revision {
		return false
	}
	if t.afterReturn(now) {
		if d, left := t.departed[u.ID]; left && d.started == u.Started {
			return false
		}
		// The entry is from the copy: the same process of the member has reported since that it leaves.
		u.Leaving = u.Leaving || e != nil && e.upstream.Leaving && e.upstream.Started == u.Started
	}
	changed := e == nil || e.upstream != u || !e.missingSince.IsZero()
	next := &memberEntry{upstream: u, revision: revision}
	if e != nil && e.upstream == u {
		next.refutedAt = e.refutedAt
	}
	t.store(next)
	return changed
}

// recordReturn records that the platform's store has returned from an older copy. Members that are
// alive write their entries again, as after an outage.
func (t *memberTable) recordReturn(now time.Time) { t.returnedAt, t.reachableSince = now, now }

// afterReturn reports whether the platform's store returned from an older copy so recently that
// members may not have written their entries again.
func (t *memberTable) afterReturn(now time.Time) bool {
	return !t.returnedAt.IsZero() && now.Sub(t.returnedAt) <= missingGrace
}

// markMissing records that a member's entry no longer exists.
func (t *memberTable) markMissing(id string, now time.Time) {
	if e := t.entries[id]; e != nil && e.missingSince.IsZero() {
		e.missingSince = now
		t.missing[id] = true
	}
}

// markMissingExcept records that all entries but those listed no longer exist.
func (t *memberTable) markMissingExcept(listed map[string]bool, now time.Time) {
	for id := range t.entries {
		if !listed[id] {
			t.markMissing(id, now)
		}
	}
}

// setPlatformReachable records whether the platform answers.
func (t *memberTable) setPlatformReachable(reachable bool, now time.Time) {
	if reachable && !t.platformReachable {
		t.reachableSince = now
	}
	t.platformReachable = reachable
}

// isRemoved reports whether an entry no longer counts. No entry is considered removed while the
// platform is unreachable, because nothing new is known then. Otherwise an entry is removed
// once it has been missing, with the platform reachable, for longer than missingGrace, or at
// once if its member left cleanly.
func (t *memberTable) isRemoved(e *memberEntry, now time.Time) bool {
	if e.missingSince.IsZero() || !t.platformReachable {
		return false
	}
	if e.leftCleanly(t.reachableSince) {
		return true
	}
	since := e.missingSince
	if t.reachableSince.After(since) {
		since = t.reachableSince
	}
	return now.Sub(since) > missingGrace
}

// leftCleanly reports whether the entry is missing because its member left: the entry was
// marked as leaving, and the platform had been reachable for longer than missingGrace, so that
// the entry did not expire in an outage. A grace period would count the departed member
// together with its replacement, so that one more failure in the group would leave no majority.
func (e *memberEntry) leftCleanly(reachableSince time.Time) bool {
	return e.upstream.Leaving && e.missingSince.Sub(reachableSince) > missingGrace
}

// changes returns, for each place whose member may have changed since the last call, the member that
// is present there, nil for none. Besides the entries that changed these are the missing ones, which
// count or not depending on the time and on whether the platform answers.
func (t *memberTable) changes(now time.Time) map[place]*platform.Upstream {
	for id := range t.missing {
		t.touched[t.entries[id].place()] = true
	}
	present := make(map[place]*platform.Upstream, len(t.touched))
	for at := range t.touched {
		present[at] = t.presentAt(at, now)
	}
	clear(t.touched)
	return present
}

// presentAt returns the member at a place that is not removed; nil if there is none. Where several
// entries name the place, it returns the one that supersedes the others.
func (t *memberTable) presentAt(at place, now time.Time) *platform.Upstream {
	var best *memberEntry
	for id := range t.byPlace[at] {
		e := t.entries[id]
		if !t.isRemoved(e, now) && (best == nil || e.supersedes(best)) {
			best = e
		}
	}
	if best == nil {
		return nil
	}
	u := best.upstream
	return &u
}

// refute records that the process at a place denied to be the member that an entry names. Another
// writer may have left that entry.
func (t *memberTable) refute(id string, at place, now time.Time) {
	if e := t.entries[id]; e != nil && e.place() == at {
		e.refutedAt = now
		t.touched[at] = true
	}
}

func (e *memberEntry) place() place { return placeOf(e.upstream.Group, e.upstream.Address) }

// supersedes reports whether e replaces other at their common place. In this order of precedence, an
// entry that was never refuted, or longer ago, replaces one that was refuted later, an existing entry
// replaces a missing one, a member that stays replaces one that leaves, and a higher revision replaces
// a lower one.
func (e *memberEntry) supersedes(other *memberEntry) bool {
	if !e.refutedAt.Equal(other.refutedAt) {
		return e.refutedAt.Before(other.refutedAt)
	}
	if e.missingSince.IsZero() != other.missingSince.IsZero() {
		return e.missingSince.IsZero()
	}
	if e.upstream.Leaving != other.upstream.Leaving {
		return other.upstream.Leaving
	}
	return e.revision > other.revision
}

// pruneRemoved deletes removed entries and reports whether any missing entry is still within
// its grace period. It stops at the first such entry.
func (t *memberTable) pruneRemoved(now time.Time) bool {
	for id := range t.missing {
		e := t.entries[id]
		if !t.isRemoved(e, now) {
			return true
		}
		t.recordDeparture(id, e, now)
		t.remove(id)
	}
	return false
}

// departureMemory is how long a departed member is remembered. It exceeds the age of the copies
// that the platform's store returns from.
const departureMemory = time.Minute

// recordDeparture remembers a member that left, and forgets those that left long ago.
func (t *memberTable) recordDeparture(id string, e *memberEntry, now time.Time) {
	for other, d := range t.departed {
		if now.Sub(d.at) > departureMemory {
			delete(t.departed, other)
		}
	}
	if e.upstream.Leaving {
		t.departed[id] = departedMember{started: e.upstream.Started, at: now}
	}
}
