package instance

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
)

var (
	matrixOnly = flag.String("matrix.only", "", "run only cells whose name contains this")
	matrixSeed = flag.Uint64("matrix.seed", 1, "seed of the callers' choices")
)

const (
	// faultDuration is how long a fault lasts.
	faultDuration = 2 * time.Second
	// recoveryTimeout bounds the time until every instance must serve again after a fault.
	recoveryTimeout = 15 * time.Second
)

// cellResult is the result of one fault at one step.
type cellResult struct {
	reached    bool
	violations []string
	reads      int
	writes     int
}

func (c cellResult) status() string {
	switch {
	case len(c.violations) > 0:
		return "RED"
	case !c.reached:
		return "not run"
	default:
		return "holds"
	}
}

func cellName(f matrixFault, s matrixStep) string {
	return strings.ReplaceAll(fmt.Sprintf("%s/%s/%s", f.name, s.flow, s.name), " ", "_")
}

// Callers write, pay, run transactions and move between three instances while one fault is
// injected at one named step of one flow, lasts two seconds and is healed. What callers
// were told must agree with the remaining rows, every session must see its own writes,
// connections must stay within their limit, and every instance must serve again. Each cell
// of the matrix is one such run.
func TestFaultMatrix(t *testing.T) {
	var mu sync.Mutex
	cells := make(map[string]cellResult)
	t.Run("cells", func(t *testing.T) {
		for _, f := range allFaults {
			for _, s := range allSteps {
				name := cellName(f, s)
				if !strings.Contains(name, *matrixOnly) {
					continue
				}
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					c := runCell(t, f, s, *matrixSeed)
					for _, violation := range c.violations {
						t.Errorf("%s", violation)
					}
					t.Logf("%s: %d reads, %d writes acknowledged", c.status(), c.reads, c.writes)
					mu.Lock()
					defer mu.Unlock()
					cells[name] = c
				})
			}
		}
	})
	if *matrixOnly == "" {
		checkMatrixPage(t, cells)
	}
}

func runCell(t *testing.T, f matrixFault, s matrixStep, seed uint64) cellResult {
	var c cellResult
	withCluster(t, func(tc *testCluster) {
		l := startLoad(tc, seed)
		time.Sleep(300 * time.Millisecond)
		var reached atomic.Bool
		s.arm(tc, func() {
			reached.Store(true)
			f.inject(tc)
		})
		time.Sleep(faultDuration)
		tc.removeHooks()
		f.heal(tc)
		tc.restartStopped()
		violations := tc.waitUntilServing()
		l.stopAndWait()
		c = cellResult{reached: reached.Load(), violations: append(violations, l.checkInvariants()...), reads: l.reads, writes: l.writes}
	})
	return c
}

// removeHooks removes the hooks that inject the fault.
func (tc *testCluster) removeHooks() {
	for _, n := range tc.nodes {
		n.SetHook(nil)
	}
	tc.store.SetHook(nil)
	tc.failoverHook.Store(nil)
	tc.loadHook.Store(nil)
}

// restartStopped restarts what a step has stopped: the first primary, or a drained
// instance.
func (tc *testCluster) restartStopped() {
	for i, n := range tc.nodes {
		if !n.Running() {
			tc.restartMember(i)
		}
	}
	for i := range tc.draining {
		err := <-tc.runErrors[i]
		tc.runErrors[i] <- err
		tc.replaceInstance(i)
	}
}

// waitUntilServing waits until every instance serves a write and a fresh read.
func (tc *testCluster) waitUntilServing() []string {
	deadline := time.Now().Add(recoveryTimeout)
	var violations []string
	for i := range testDomains {
		for {
			err := tc.checkServing(i)
			if err == nil {
				break
			}
			if time.Now().After(deadline) {
				violations = append(violations, fmt.Sprintf("instance %d does not serve %s after the fault: %v", i, recoveryTimeout, err))
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return violations
}

func (tc *testCluster) checkServing(i int) error {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	c, err := pgx.ConnectConfig(ctx, tc.config(i, ""))
	if err != nil {
		return err
	}
	defer c.Close(context.Background())
	if _, err := c.Exec(ctx, "INSERT INTO kv (k, v) VALUES ('service', 'x') ON CONFLICT (k) DO UPDATE SET v = EXCLUDED.v"); err != nil {
		return err
	}
	var v string
	return c.QueryRow(ctx, "SELECT v FROM kv WHERE k = 'service'"+freshReadTag).Scan(&v)
}
