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

// recordingGate refuses everything and keeps what was asked.
type recordingGate struct{ asked []admission.Request }

// Enter implements admission.Gate.
func (g *recordingGate) Enter(_ context.Context, r admission.Request) (*admission.Slot, error) {
	g.asked = append(g.asked, r)
	return nil, result.New(result.QueueFull, "recorded")
}

// Callers of a class want their answers within its objective, which is long before their
// deadline. The queue must know: ordered by deadlines alone it makes everybody late.
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
		is.Equal(gate.asked[0].WantedBy, arrived.Add(readObjective))
		is.Equal(gate.asked[0].Deadline, arrived.Add(time.Second))
	})
}
