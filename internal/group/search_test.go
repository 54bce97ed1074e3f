package group

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/document"
)

// An instance is cut off from a group's primary for seconds. For the duration of a
// promotion it queries the other members often, to learn of the new primary. After that
// the interval grows, since each query takes a slot at a member for a moment and returns
// the same result.
func TestPrimarySearchBacksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := NewWatcher(Config{Group: "g", MinSize: 3, Clock: clock.System{}, Rand: rand.New(rand.NewPCG(1, 2)),
			Members: []document.Member{{Address: "a"}, {Address: "b"}, {Address: "c"}}})
		queries := 0
		var earlyQueries int
		for began := time.Now(); time.Since(began) < 7*time.Second; time.Sleep(w.searchInterval()) {
			queries++
			if time.Since(began) < 700*time.Millisecond {
				earlyQueries = queries
			}
		}
		is.True(earlyQueries >= 30)
		// With the minimum interval throughout it would be 350.
		is.True(queries < 120)
	})
}
