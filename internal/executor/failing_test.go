package executor

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/wire"
)

// For eight seconds one replica answers every read with an error at once, and looks healthy
// otherwise. Reads come a hundred a second. Nearly all are served by the other members at
// their first try, callers are not refused, and the replica serves its part again within
// seconds of its recovery.
func TestReplicaThatFailsEveryReadIsPassedBy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const ill = 8 * time.Second
		start := time.Now()
		sick := &scripted{failure: &wire.Failure{Kind: wire.FailureRan, Code: "X"}, until: start.Add(ill)}
		g, s := scriptedGroup(&scripted{after: 5 * time.Millisecond}, sick, &scripted{after: 5 * time.Millisecond})
		refused, asked, before := 0, 0, 0
		for time.Since(start) < ill+failingMost+2*time.Second {
			if _, _, err := readOnce(t, g); err != nil {
				refused++
			}
			asked++
			if time.Since(start) < ill {
				before = s.members["r1"].asked
			}
			_ = clock.Sleep(context.Background(), clock.System{}, 10*time.Millisecond)
		}
		t.Logf("%d reads, %d refused, %d met the replica while it failed", asked, refused, before)
		is.Equal(refused, 0)
		is.True(before <= 12)
		is.True(!g.failing.at("r1", time.Now()))
	})
}

// A read fails at a member now and then. That is no reason to pass it by.
func TestSingleFailuresPassNobodyBy(t *testing.T) {
	is := is.New(t)
	f := newFailing()
	now := time.Unix(100, 0)
	for range 20 {
		f.failed("r1", now)
		f.failed("r1", now)
		is.True(!f.at("r1", now))
		f.served("r1")
	}
}
