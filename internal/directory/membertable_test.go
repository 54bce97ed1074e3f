package directory

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/platform"
)

// A member announces that it leaves and its entry is removed, while another member of the group
// is lost. If the departed member still counted during the grace period, two of four members
// would be left and nothing could be confirmed until the period ends. A member that did not
// announce it, or whose entry is removed just after a platform outage, may still be running and
// keeps the grace period.
func TestMemberThatLeftCleanlyHasNoGracePeriod(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	table := newMemberTable()
	table.setPlatformReachable(true, start)
	table.update(platform.Upstream{ID: "left", Address: "1", Leaving: true}, 1, start)
	table.update(platform.Upstream{ID: "lost", Address: "2"}, 2, start)
	view := &index[place, platform.Upstream]{}
	present := func(at time.Time) (addresses string) {
		view = view.with(table.changes(at))
		all := maps.Collect(view.all())
		for _, address := range slices.Sorted(maps.Keys(all)) {
			addresses += all[address].Address
		}
		return addresses
	}
	is.Equal(present(start), "12")

	removedAt := start.Add(time.Minute)
	table.markMissing("left", removedAt)
	table.markMissing("lost", removedAt)
	is.Equal(present(removedAt), "2")
	is.Equal(present(removedAt.Add(missingGrace)), "2")
	is.Equal(present(removedAt.Add(missingGrace+1)), "")

	table.update(platform.Upstream{ID: "left", Address: "1", Leaving: true}, 3, start)
	table.setPlatformReachable(false, removedAt)
	reachableAgain := removedAt.Add(time.Minute)
	table.setPlatformReachable(true, reachableAgain)
	table.markMissing("left", reachableAgain.Add(missingGrace))
	is.Equal(present(reachableAgain.Add(missingGrace)), "12")
	table.setPlatformReachable(false, reachableAgain)
	is.Equal(present(reachableAgain.Add(time.Hour)), "12")
}

// Guards against an entry of another writer that takes a member's address for good, and against a refuted
// entry that is never tried again.
func TestRefutedEntryGivesWayToTheOthersAtItsAddress(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := newMemberTable()
	table.update(platform.Upstream{ID: "own", Group: "g", Address: "1"}, 1, now)
	table.update(platform.Upstream{ID: "odd", Group: "g", Address: "1"}, 2, now)
	expected := func() string { return table.changes(now)[placeOf("g", "1")].ID }
	refute := func(id, address string) {
		now = now.Add(time.Second)
		table.refute(id, placeOf("g", address), now)
	}
	is.Equal(expected(), "odd")
	refute("odd", "2") // it has another address by now
	refute("gone", "1")
	table.touched[placeOf("g", "1")] = true
	is.Equal(expected(), "odd")
	refute("odd", "1")
	is.Equal(expected(), "own")
	// The same entry again says nothing new.
	table.update(platform.Upstream{ID: "odd", Group: "g", Address: "1"}, 3, now)
	is.Equal(expected(), "own")
	refute("own", "1")
	is.Equal(expected(), "odd")
	refute("odd", "1")
	is.Equal(expected(), "own")
	// A changed entry may be that of a process which has taken the address over.
	table.update(platform.Upstream{ID: "odd", Group: "g", Address: "1", Started: 7}, 4, now)
	is.Equal(expected(), "odd")
}
