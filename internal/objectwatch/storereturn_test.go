package objectwatch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/platform"
	standin "github.com/topazrock/topazrock/internal/standin/platform"
)

// callTime is how long the store takes for a call.
const callTime = 8 * time.Millisecond

// returnFromCopy makes the store unavailable for half a second, after which it is back from a copy
// of the given age. written is called before the followers call the store again.
func returnFromCopy(s *standin.Store, age time.Duration, written func()) {
	s.SetFaults(standin.Faults{Outage: true})
	advance(500 * time.Millisecond)
	s.SetFaults(standin.Faults{Delay: callTime})
	s.ReturnFromCopy(age)
	written()
}

// Guards against a follower that ignores a platform whose revisions are lower than the ones it
// knows, and lists without a pause until they are higher.
func TestFollowerFollowsAPlatformWhoseRevisionsWentBack(t *testing.T) {
	runFollower(t, 0, func(is *is.I, s *standin.Store, sink *recordingSink) {
		put(is, s, "a", "1")
		advance(5 * time.Second)
		for i := range 10 {
			put(is, s, "b", fmt.Sprint(i))
		}
		advance(time.Second)
		before := s.Calls()[standin.CallList]
		returnFromCopy(s, 4*time.Second, func() { put(is, s, "a", "2") })
		advance(2 * time.Second)
		is.Equal(fmt.Sprint(sink.values), "map[a:2]")
		is.True(s.Calls()[standin.CallList]-before <= 2)
	})
}

// Guards against changes that a follower misses because the numbers of lost changes were given out
// again before it called the platform.
func TestFollowerMissesNoChangeWhenRevisionsAreReused(t *testing.T) {
	runFollower(t, 0, func(is *is.I, s *standin.Store, sink *recordingSink) {
		put(is, s, "a", "1")
		advance(5 * time.Second)
		for i := range 3 {
			put(is, s, "b", fmt.Sprint(i))
		}
		advance(time.Second)
		returnFromCopy(s, 4*time.Second, func() {
			put(is, s, "a", "2")
			for i := range 5 {
				put(is, s, "c", fmt.Sprint(i))
			}
		})
		advance(2 * time.Second)
		is.Equal(fmt.Sprint(sink.values), "map[a:2 c:4]")
		objects, _, err := s.List(context.Background(), platform.KindGroup)
		is.NoErr(err)
		is.Equal(len(objects), 2)
	})
}
