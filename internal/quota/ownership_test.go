package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// ids are the names of a number of instances.
func ids(n int) []string {
	var all []string
	for i := range n {
		all = append(all, fmt.Sprint("e", i))
	}
	return all
}

// Guards against instances that own more than the whole together because one that vanished from
// the list still spends its share.
func TestVanishedInstanceCountsForAMinute(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	o := NewOwnership("e0")
	o.Observe(ids(10), now)
	is.Equal(o.Parts(now), 10)
	for at := time.Duration(0); at < time.Minute; at += time.Second {
		o.Observe(ids(6), now.Add(at))
		is.Equal(o.Parts(now.Add(at)), 10)
	}
	later := now.Add(2 * time.Minute)
	o.Observe(ids(6), later)
	is.Equal(o.Parts(later), 6)
}

// Guards against a new instance that owns a share before the others count it, and against one
// that comes back and waits as if it were new.
func TestNewcomerOwnsNothingAtFirst(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	o := NewOwnership("new")
	is.Equal(o.Parts(now), 0)
	o.Observe(ids(5), now)
	is.Equal(o.Parts(now), 0)
	o.Observe(append(ids(5), "new"), now.Add(time.Second))
	is.Equal(o.Parts(now.Add(newcomerAfter-time.Millisecond)), 0)
	is.Equal(o.Parts(now.Add(newcomerAfter)), 6)
	back := NewOwnership("e3")
	back.Observe(ids(5), now)
	is.Equal(back.Parts(now), 5)
}

// Guards against an instance that is cut off and spends its share after the others have stopped
// counting it, and against one that loses its share for a short cut.
func TestInstanceThatStaysCutOffOwnsNothing(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	o := NewOwnership("e0")
	o.Observe(ids(5), now)
	o.SetCutOff(true, now)
	o.SetCutOff(true, now.Add(cutOffAfter))
	is.Equal(o.Parts(now.Add(cutOffAfter)), 5)
	is.Equal(o.Parts(now.Add(cutOffAfter+time.Millisecond)), 0)
	is.True(cutOffAfter < goneAfter)
	o.SetCutOff(false, now.Add(cutOffAfter+time.Second))
	is.Equal(o.Parts(now.Add(cutOffAfter+time.Second)), 5)
}
