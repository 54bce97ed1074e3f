package failover

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/logpos"
)

// Primaries are lost in succession. The detection time grows for one that stops answering
// shortly after a change of primary. It does not for one that is lost after a stable
// period or whose machine refuses connections.
func TestLossAfterStablePeriodUsesBaseDetectionTime(t *testing.T) {
	is := is.New(t)
	settings := DefaultSettings()
	detector := &failureDetector{settings: settings}
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	detection := func(term logpos.Term, at time.Duration) time.Duration {
		now := start.Add(at)
		healthy := lostSnapshot(term, time.Time{}, now)
		detector.assess(now, healthy, 0)
		lost := lostSnapshot(term, now, now)
		a := detector.assess(now, lost, 0)
		is.Equal(a.cause, CauseLost)
		return a.due.Sub(now)
	}
	is.Equal(detection(1, 0), settings.DetectionTime)
	is.Equal(detection(2, time.Second), 2*settings.DetectionTime)
	is.Equal(detection(3, 2*time.Second), 4*settings.DetectionTime)
	refused := lostSnapshot(3, start.Add(3*time.Second), start.Add(3*time.Second))
	refused.Members[0].ConnectionRefused = true
	is.Equal(detector.assess(start.Add(3*time.Second), refused, 0).due, start.Add(3*time.Second+settings.DetectionTime))
	after := 3*time.Second + settings.StablePeriod + time.Millisecond
	is.Equal(detection(3, after), settings.DetectionTime)
}

// lostSnapshot returns the snapshot of a group of three whose primary has been failing
// since the given time, or is healthy if that is zero.
func lostSnapshot(term logpos.Term, failing, now time.Time) *group.Snapshot {
	primary := group.MemberView{Address: "a", ReportedAt: now, FailingSince: failing}
	if !failing.IsZero() {
		primary.Failures = 3
	}
	return &group.Snapshot{
		Term:             term,
		Primary:          "a",
		QuorumAttachedAt: now,
		Members:          []group.MemberView{primary, {Address: "b", ReportedAt: now}, {Address: "c", ReportedAt: now}},
	}
}
