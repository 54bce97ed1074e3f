package registry

import (
	"cmp"
	"slices"
	"time"

	"github.com/topazrock/topazrock/internal/platform"
)

// goneAfter is how long an instance must have been silent to lose its entry: longer than
// a process or machine takes to restart and than most cuts last. One that was removed too
// early writes its entry again, and costs two changes of the homes for nothing.
const goneAfter = 10 * time.Second

// silences is since when each watched instance that does not answer has been silent. An
// instance that is listed again at another address is another key and begins anew.
type silences map[platform.Instance]time.Time

// after returns the silences behind a round of questions: those of the instances that
// did not answer, with when they were asked. An instance that answered, or is not watched
// any more, is not among them.
func (s silences) after(unanswered map[platform.Instance]time.Time) silences {
	next := make(silences)
	for i, asked := range unanswered {
		next[i] = asked
		if since, before := s[i]; before {
			next[i] = since
		}
	}
	return next
}

// gone returns the instances that have been silent long enough to lose their entries, in the
// order of their IDs.
func (s silences) gone(now time.Time) []platform.Instance {
	var list []platform.Instance
	for i, since := range s {
		if now.Sub(since) >= goneAfter {
			list = append(list, i)
		}
	}
	slices.SortFunc(list, func(a, b platform.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
