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

// partCount is the number of parts of a list that have their own checksum. With 7,400
// instances, a part has about 115 entries, so that transferring one changed entry takes about
// 20 KB instead of a megabyte.
const partCount = 64

// partChecksums holds one checksum for each part of a list's instances.
type partChecksums [partCount]uint64

// list is the platform's list of instances and of leaving upstreams. Upstreams that are not
// leaving are omitted.
type list struct {
	// instances are ordered by ID and include leaving instances.
	instances []platform.Instance
	// leaving are the sorted addresses of leaving upstreams.
	leaving []string
	// readAt is when the platform returned the list, according to this instance's clock; zero
	// if there is no list yet.
	readAt        time.Time
	partChecksums partChecksums
	checksum      uint64
}

// newList returns the list of the instances and leaving upstreams. Of several entries with the
// same ID, the last one is used.
func newList(instances []platform.Instance, leaving []string, readAt time.Time) list {
	l := list{instances: slices.Clone(instances), leaving: slices.Clone(leaving), readAt: readAt}
	slices.SortStableFunc(l.instances, func(a, b platform.Instance) int { return cmp.Compare(a.ID, b.ID) })
	slices.Reverse(l.instances)
	l.instances = slices.CompactFunc(l.instances, func(a, b platform.Instance) bool { return a.ID == b.ID })
	slices.Reverse(l.instances)
	slices.Sort(l.leaving)
	l.leaving = slices.Compact(l.leaving)
	for _, i := range l.instances {
		l.partChecksums[partIndex(i.ID)] ^= instanceChecksum(i)
	}
	l.checksum = xxhash.Sum64String(fmt.Sprint(l.partChecksums) + strings.Join(l.leaving, " "))
	return l
}

func partIndex(id string) int { return int(xxhash.Sum64String(id) % partCount) }

func instanceChecksum(i platform.Instance) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%s\x00%s\x00%t", i.ID, i.FailureDomain, i.PeerAddress, i.AdminAddress, i.Leaving))
}

func leavingAddresses(upstreams []platform.Upstream) []string {
	var leaving []string
	for _, u := range upstreams {
		if u.Leaving {
			leaving = append(leaving, u.Address)
		}
	}
	return leaving
}

// mergeReply returns a list in which the parts in a reply replace those of l.
func (l *list) mergeReply(r pullReply, readAt time.Time) list {
	replaced := make(map[int]bool, len(r.Parts))
	for _, p := range r.Parts {
		replaced[p] = true
	}
	instances := slices.DeleteFunc(slices.Clone(l.instances), func(i platform.Instance) bool { return replaced[partIndex(i.ID)] })
	return newList(append(instances, r.Instances...), r.Leaving, readAt)
}
