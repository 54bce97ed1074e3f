package registry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/platform"
)

// An instance misses one question in between, as a busy one does. Its silence begins anew
// behind the answer, and only one that was silent all the time loses its entry.
func TestSilenceBeginsAnewBehindAnAnswer(t *testing.T) {
	is := is.New(t)
	busy, dead := platform.Instance{ID: "busy"}, platform.Instance{ID: "dead"}
	start := time.Unix(1000, 0)
	var s silences
	for at := time.Duration(0); at <= goneAfter; at += sweepInterval {
		unanswered := map[platform.Instance]time.Time{dead: start.Add(at)}
		if at != goneAfter/2/sweepInterval*sweepInterval {
			unanswered[busy] = start.Add(at)
		}
		s = s.after(unanswered)
	}
	is.Equal(s.gone(start.Add(goneAfter-1)), nil)
	is.Equal(s.gone(start.Add(goneAfter)), []platform.Instance{dead})
}

// A silent instance comes back at another address under its old ID. What was counted
// against the old one does not count against the new one.
func TestInstanceAtANewAddressBeginsAnew(t *testing.T) {
	is := is.New(t)
	before, after := platform.Instance{ID: "i1", PeerAddress: "a"}, platform.Instance{ID: "i1", PeerAddress: "b"}
	start := time.Unix(1000, 0)
	s := silences(nil).after(map[platform.Instance]time.Time{before: start})
	s = s.after(map[platform.Instance]time.Time{after: start.Add(goneAfter)})
	is.Equal(s.gone(start.Add(goneAfter)), nil)
}
