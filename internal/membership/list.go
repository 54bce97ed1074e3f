package membership

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/topazrock/topazrock/internal/platform"
)

// partCount is how many parts the sums of a list are made of. With 7,400
// instances a part has some 115 entries, so that one changed entry costs about
// 20 KB to pass on and not a megabyte.
const partCount = 64

// sums holds one sum for each part of a list's instances.
type sums [partCount]uint64

// list is what the platform said of machines, with the upstreams that stay
// left out.
type list struct {
	// instances are ordered by ID, leaving ones included.
	instances []platform.Instance
	// leaving are the addresses of leaving upstreams, in order.
	leaving []string
	// readAt is when the platform gave the list, by this instance's clock; zero
	// when there is no list yet.
	readAt time.Time
	sums   sums
	root   uint64
}

// newList orders an inventory and drops what nobody here needs. Of two entries
// of one ID the later counts.
func newList(instances []platform.Instance, leaving []string, readAt time.Time) list {
	l := list{instances: slices.Clone(instances), leaving: slices.Clone(leaving), readAt: readAt}
	slices.SortStableFunc(l.instances, func(a, b platform.Instance) int { return cmp.Compare(a.ID, b.ID) })
	slices.Reverse(l.instances)
	l.instances = slices.CompactFunc(l.instances, func(a, b platform.Instance) bool { return a.ID == b.ID })
	slices.Reverse(l.instances)
	slices.Sort(l.leaving)
	l.leaving = slices.Compact(l.leaving)
	for _, i := range l.instances {
		l.sums[partOf(i.ID)] ^= sumOf(i)
	}
	l.root = xxhash.Sum64String(fmt.Sprint(l.sums) + strings.Join(l.leaving, " "))
	return l
}

func partOf(id string) int { return int(xxhash.Sum64String(id) % partCount) }

func sumOf(i platform.Instance) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%s\x00%s\x00%t", i.ID, i.FailureDomain, i.PeerAddress, i.AdminAddress, i.Leaving))
}

func leavingOf(upstreams []platform.Upstream) []string {
	var leaving []string
	for _, u := range upstreams {
		if u.Leaving {
			leaving = append(leaving, u.Address)
		}
	}
	return leaving
}

// merge returns the list with the entries of some parts replaced.
func (l *list) merge(r pullReply, readAt time.Time) list {
	replaced := make(map[int]bool, len(r.Parts))
	for _, p := range r.Parts {
		replaced[p] = true
	}
	instances := slices.DeleteFunc(slices.Clone(l.instances), func(i platform.Instance) bool { return replaced[partOf(i.ID)] })
	return newList(append(instances, r.Instances...), r.Leaving, readAt)
}
