package executor

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/admission"
	"github.com/topazrock/topazrock/internal/result"
)

// recordingGate refuses every request and records it.
type recordingGate struct{ requests []admission.Request }

// Acquire implements admission.Gate.
func (g *recordingGate) Acquire(_ context.Context, r admission.Request) (*admission.Slot, error) {
	g.requests = append(g.requests, r)
	return nil, result.New(result.QueueFull, "recorded")
}

// Callers of a class want their answers within its objective, which ends long before their
// deadline. Guards against an admission queue that does not know the objective: ordered by
// deadlines alone, it makes all callers late.
func TestAdmissionRequestCarriesObjectiveAndDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, _ := newFakeGroup(&fakeMember{}, &fakeMember{}, &fakeMember{})
		gate := &recordingGate{}
		g.Gate = gate
		arrived := time.Now()
		_, _, err := readOnce(t, g)
		e, ok := result.As(err)
		is.True(ok)
		is.Equal(e.Code, result.QueueFull)
		is.Equal(gate.requests[0].ObjectiveDeadline, arrived.Add(readObjective))
		is.Equal(gate.requests[0].Deadline, arrived.Add(time.Second))
	})
}
