package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// instanceIDs returns the IDs of n instances.
func instanceIDs(n int) []string {
	var all []string
	for i := range n {
		all = append(all, fmt.Sprint("e", i))
	}
	return all
}

// Guards against shares that add up to more than the whole because an instance that is no
// longer listed still spends its share.
func TestUnlistedInstanceCountsForAMinute(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	o := NewOwnership("e0")
	o.UpdateInstances(instanceIDs(10), now)
	is.Equal(o.ShareCount(now), 10)
	for at := time.Duration(0); at < time.Minute; at += time.Second {
		o.UpdateInstances(instanceIDs(6), now.Add(at))
		is.Equal(o.ShareCount(now.Add(at)), 10)
	}
	later := now.Add(2 * time.Minute)
	o.UpdateInstances(instanceIDs(6), later)
	is.Equal(o.ShareCount(later), 6)
}

// Guards against a new instance that owns a share before the others count it, and against a
// restarted instance that waits as if it were new.
func TestNewInstanceOwnsNothingAtFirst(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	o := NewOwnership("new")
	is.Equal(o.ShareCount(now), 0)
	o.UpdateInstances(instanceIDs(5), now)
	is.Equal(o.ShareCount(now), 0)
	o.UpdateInstances(append(instanceIDs(5), "new"), now.Add(time.Second))
	is.Equal(o.ShareCount(now.Add(newInstanceDelay-time.Millisecond)), 0)
	is.Equal(o.ShareCount(now.Add(newInstanceDelay)), 6)
	restarted := NewOwnership("e3")
	restarted.UpdateInstances(instanceIDs(5), now)
	is.Equal(restarted.ShareCount(now), 5)
}

// Guards against an instance that is cut off and spends its share after the others have stopped
// counting it, and against one that loses its share when it is cut off only briefly.
func TestInstanceCutOffForLongOwnsNothing(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	o := NewOwnership("e0")
	o.UpdateInstances(instanceIDs(5), now)
	o.SetCutOff(true, now)
	o.SetCutOff(true, now.Add(cutOffGrace))
	is.Equal(o.ShareCount(now.Add(cutOffGrace)), 5)
	is.Equal(o.ShareCount(now.Add(cutOffGrace+time.Millisecond)), 0)
	is.True(cutOffGrace < unlistedGrace)
	o.SetCutOff(false, now.Add(cutOffGrace+time.Second))
	is.Equal(o.ShareCount(now.Add(cutOffGrace+time.Second)), 5)
}
