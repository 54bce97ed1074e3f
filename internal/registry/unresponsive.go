package registry

import (
	"cmp"
	"slices"
	"time"

	"github.com/topazrock/topazrock/internal/platform"
)

// removeAfter is how long an instance must be unresponsive before its entry is removed: longer
// than a process or machine takes to restart and than most network partitions last. An instance
// removed too early writes its entry again, at the cost of two needless changes of home
// instances.
const removeAfter = 10 * time.Second

// unresponsiveSince maps each monitored instance that does not answer to the time of the first
// probe that it did not answer. An instance that is listed again with another
// address is a different key and starts over.
type unresponsiveSince map[platform.Instance]time.Time

// update returns the map after a round of probes. unanswered maps the instances that did not
// answer to the time of the probe. Instances that answered or are no longer monitored are left
// out.
func (s unresponsiveSince) update(unanswered map[platform.Instance]time.Time) unresponsiveSince {
	next := make(unresponsiveSince)
	for i, askedAt := range unanswered {
		next[i] = askedAt
		if since, known := s[i]; known {
			next[i] = since
		}
	}
	return next
}

// expired returns the instances that have been unresponsive for at least removeAfter, ordered
// by ID.
func (s unresponsiveSince) expired(now time.Time) []platform.Instance {
	var list []platform.Instance
	for i, since := range s {
		if now.Sub(since) >= removeAfter {
			list = append(list, i)
		}
	}
	slices.SortFunc(list, func(a, b platform.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
