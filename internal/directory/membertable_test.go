package directory

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/platform"
)

// A member announces that it leaves and its entry is removed, while another member of the group
// is lost. If the departed member still counted during the grace period, two of four members
// would be left and nothing could be confirmed until the period ends. A member that did not
// announce it, or whose entry is removed just after a platform outage, may still be running and
// keeps the grace period.
func TestMemberThatLeftCleanlyHasNoGracePeriod(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	r := newMemberTable()
	r.setPlatformReachable(true, start)
	r.update(platform.Upstream{ID: "left", Address: "1", Leaving: true}, 1)
	r.update(platform.Upstream{ID: "lost", Address: "2"}, 2)
	present := func(at time.Time) (addresses string) {
		for _, u := range r.present(at) {
			addresses += u.Address
		}
		return addresses
	}
	is.Equal(present(start), "12")

	gone := start.Add(time.Minute)
	r.markMissing("left", gone)
	r.markMissing("lost", gone)
	is.Equal(present(gone), "2")
	is.Equal(present(gone.Add(missingGrace)), "2")
	is.Equal(present(gone.Add(missingGrace+1)), "")

	r.update(platform.Upstream{ID: "left", Address: "1", Leaving: true}, 3)
	r.setPlatformReachable(false, gone)
	back := gone.Add(time.Minute)
	r.setPlatformReachable(true, back)
	r.markMissing("left", back.Add(missingGrace))
	is.Equal(present(back.Add(missingGrace)), "12")
	r.setPlatformReachable(false, back)
	is.Equal(present(back.Add(time.Hour)), "12")
}
