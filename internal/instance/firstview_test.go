package instance

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A fleet returns together. The groups are known before the list of instances, with it and
// after it: homes start with the list. Where the list stays away they start at the end of
// the patience.
func TestHomesWaitForTheListOfInstances(t *testing.T) {
	start := time.Unix(100, 0)
	for _, c := range []struct {
		name            string
		groups, list    time.Duration
		wantFirstHomeAt time.Duration
	}{
		{"groups before the list", 0, 200 * time.Millisecond, 200 * time.Millisecond},
		{"both together", 100 * time.Millisecond, 100 * time.Millisecond, 100 * time.Millisecond},
		{"groups behind the list", 500 * time.Millisecond, 100 * time.Millisecond, 500 * time.Millisecond},
		{"no list", 100 * time.Millisecond, time.Hour, 100*time.Millisecond + viewPatience},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var v firstView
			const step = 10 * time.Millisecond
			for at := time.Duration(0); ; at += step {
				groups := 0
				if at >= c.groups {
					groups = 8
				}
				if !v.awaits(start.Add(at), groups, at >= c.list) {
					is.Equal(at, c.wantFirstHomeAt)
					return
				}
			}
		})
	}
}
