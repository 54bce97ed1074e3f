package bench

import (
	"context"
	"fmt"
	"io"
	"time"
)

// Parameters of the demo.
const (
	demoDuration = 20 * time.Second
	demoSessions = 24
	demoThink    = 20 * time.Millisecond
	demoLag      = 20 * time.Millisecond
)

// Demo runs one group, three instances and callers that move between the instances,
// kills the primary halfway through, and prints a readable summary to out.
func Demo(ctx context.Context, seed uint64, out, logs io.Writer) (*Report, error) {
	r, err := Run(ctx, Config{
		Profile: ProfileLigacaoSul, Duration: demoDuration, Seed: seed, Fault: FaultPrimaryKill,
		Sessions: demoSessions, ThinkTime: demoThink, ReplicationLag: demoLag, StatementCost: DefaultStatementCost, Progress: out, Logs: logs, small: true,
	})
	if r != nil {
		fmt.Fprint(out, r.Summary())
	}
	return r, err
}
