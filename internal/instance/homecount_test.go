package instance

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/document"
	"github.com/topazrock/topazrock/internal/platform"
)

// Fleets of several sizes share what members take. The connections of all homes
// together stay within that, and small fleets have no hop.
func TestHomesFitTheMembersConnections(t *testing.T) {
	for _, c := range []struct{ connections, instances, domains, want int }{
		{34, 8, 3, everyInstance},
		{34, 9, 3, everyInstance}, // one that was replaced is still listed
		{55, 7, 3, everyInstance},
		{48, 59, 3, 4},
		{176, 74, 4, 11},
		{10, 40, 4, 1},
	} {
		t.Run(fmt.Sprintf("%d connections %d instances", c.connections, c.instances), func(t *testing.T) {
			is := is.New(t)
			var instances []platform.Instance
			for i := range c.instances {
				instances = append(instances, platform.Instance{ID: fmt.Sprint(i), FailureDomain: fmt.Sprint(i % c.domains)})
			}
			got := homesPerDomain([]document.Group{{MemberConnections: 900}, {MemberConnections: c.connections}}, instances)
			is.Equal(got, c.want)
			if got != everyInstance && got > 1 {
				is.True(got*c.domains*usualShare <= c.connections)
			}
		})
	}
}

// Three failure domains have four, two and two instances and as many callers each. The
// parts follow the callers and never sum to more than the member takes.
func TestPartsFollowTheCallersAndStayWithinTheWhole(t *testing.T) {
	is := is.New(t)
	var homes []platform.Instance
	for i, domain := range []string{"a", "a", "a", "a", "b", "b", "c", "c"} {
		homes = append(homes, platform.Instance{ID: fmt.Sprint(i), FailureDomain: domain})
	}
	is.Equal(evenPart(34, homes, homes[0]), 3)
	is.Equal(evenPart(34, homes, homes[4]), 4)
	is.Equal(evenPart(34, homes, platform.Instance{FailureDomain: "d"}), 0)
	for total := range 200 {
		sum := 0
		for _, i := range homes {
			sum += evenPart(total, homes, i)
		}
		is.True(sum <= total)
	}
}
