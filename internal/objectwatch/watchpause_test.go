package objectwatch

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// Load pattern: the members of a thousand groups register at some hundred a second. Guards against
// followers that take in each response of a few changes, and against single changes that wait.
func TestPauseGrowsWithTheChangesAtOnce(t *testing.T) {
	is := is.New(t)
	log := hclog.NewNullLogger()
	f := New(Config{WatchPause: 200 * time.Millisecond, MaxWatchPause: time.Second, Log: log})
	is.Equal(f.pauseAfter(1), 200*time.Millisecond)
	is.Equal(f.pauseAfter(burstChanges), 400*time.Millisecond)
	is.Equal(f.pauseAfter(1000), time.Second)
	fixed := New(Config{WatchPause: time.Second, Log: log})
	is.Equal(fixed.pauseAfter(1000), time.Second)
	none := New(Config{Log: log})
	is.Equal(none.pauseAfter(1000), time.Duration(0))
}
