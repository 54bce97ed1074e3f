package quota

import (
	"context"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/result"
)

// Executor takes a token from the workspace's limit before an operation begins. A transaction
// is one operation: only the unit that opens it takes a token.
type Executor struct {
	execution.Executor
	Guard *Guard
	Clock clock.Clock
}

var _ execution.Executor = Executor{}

// Execute implements execution.Executor.
func (e Executor) Execute(ctx context.Context, u *execution.Unit, partial func([]byte) error) (*execution.Reply, error) {
	if u.Workspace == "" || u.Transaction != "" {
		return e.Executor.Execute(ctx, u, partial)
	}
	if refused := e.Guard.TakeToken(ctx, u.Workspace, e.Guard.rankOf(u.Group, u.Class)); refused != nil {
		return nil, refused
	}
	takenAt := e.Clock.Now()
	reply, err := e.Executor.Execute(ctx, u, partial)
	if didNotRun(err) {
		e.Guard.ReturnToken(u.Workspace, takenAt)
	}
	return reply, err
}

// didNotRun reports whether an error means that the unit did not run.
func didNotRun(err error) bool {
	e, ok := result.As(err)
	return ok && e.Code.Family() == result.FamilyDidNotRun
}
