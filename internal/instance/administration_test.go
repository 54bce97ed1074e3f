package instance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/group"
)

// All members of one team's group are gone while the instances are replaced one
// by one. A new instance that waited for them would never be ready, and with
// the last old one the balancer would have nowhere to send any team's callers.
func TestGroupWithoutMembersDoesNotDelayReadiness(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1, 0)
	is.True(!membersProbed(&group.Snapshot{Members: []group.MemberView{{}, {Failing: now}}})) // one not tried yet
	is.True(membersProbed(&group.Snapshot{Members: []group.MemberView{{SeenAt: now}, {Failing: now}}}))
	is.True(membersProbed(&group.Snapshot{Members: []group.MemberView{{Failing: now}, {Failing: now}}}))
	is.True(membersProbed(&group.Snapshot{Term: 1, Members: []group.MemberView{{}}}))
}
