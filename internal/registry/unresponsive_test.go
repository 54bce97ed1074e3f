package registry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/platform"
)

// An instance misses some probes but answers one in between, as a busy instance does. The
// answer must reset its unresponsive time, and only an instance that never answered loses its
// entry.
func TestAnswerResetsUnresponsiveTime(t *testing.T) {
	is := is.New(t)
	busy, dead := platform.Instance{ID: "busy"}, platform.Instance{ID: "dead"}
	start := time.Unix(1000, 0)
	var s unresponsiveSince
	for at := time.Duration(0); at <= removeAfter; at += sweepInterval {
		unanswered := map[platform.Instance]time.Time{dead: start.Add(at)}
		if at != removeAfter/2/sweepInterval*sweepInterval {
			unanswered[busy] = start.Add(at)
		}
		s = s.update(unanswered)
	}
	is.Equal(s.expired(start.Add(removeAfter-1)), nil)
	is.Equal(s.expired(start.Add(removeAfter)), []platform.Instance{dead})
}

// An unresponsive instance returns under the same ID with another address. The time counted
// against the old address must not count against the new one.
func TestNewAddressResetsUnresponsiveTime(t *testing.T) {
	is := is.New(t)
	before, after := platform.Instance{ID: "i1", PeerAddress: "a"}, platform.Instance{ID: "i1", PeerAddress: "b"}
	start := time.Unix(1000, 0)
	s := unresponsiveSince(nil).update(map[platform.Instance]time.Time{before: start})
	s = s.update(map[platform.Instance]time.Time{after: start.Add(removeAfter)})
	is.Equal(s.expired(start.Add(removeAfter)), nil)
}
