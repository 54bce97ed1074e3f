package instance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/group"
)

// Guards against a group without any member that keeps new instances from becoming ready.
// If they waited for its members while all instances are replaced one by one, the balancer
// would have no instance left for the callers of any group once the last old instance is
// gone.
func TestGroupWithoutMembersDoesNotDelayReadiness(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1, 0)
	is.True(!membersProbed(&group.Snapshot{Members: []group.MemberView{{}, {FailingSince: now}}})) // one was not probed yet
	is.True(membersProbed(&group.Snapshot{Members: []group.MemberView{{ReportedAt: now}, {FailingSince: now}}}))
	is.True(membersProbed(&group.Snapshot{Members: []group.MemberView{{FailingSince: now}, {FailingSince: now}}}))
	is.True(membersProbed(&group.Snapshot{Term: 1, Members: []group.MemberView{{}}}))
}
