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
	// recovery is how long after a fault every instance must serve again.
	recoveryTimeout = 15 * time.Second
)

// cell is the outcome of one fault at one step.
type cellResult struct {
	reached    bool
	violations []string
	reads      int
	writes     int
}

func (c cellResult) verdict() string {
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

// Callers write, pay, transact and roam through three instances while one fault
// strikes at one named step of one flow, lasts two seconds and is healed. What
// the callers were told must agree with the rows that are left, no session may
// miss its own write, the connections stay within their total, and every
// instance serves again. Each cell of the matrix is one such run.
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
					for _, found := range c.violations {
						t.Errorf("%s", found)
					}
					t.Logf("%s: %d reads, %d writes acknowledged", c.verdict(), c.reads, c.writes)
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
		found := tc.waitUntilServing()
		l.stopAndWait()
		c = cellResult{reached: reached.Load(), violations: append(found, l.checkInvariants()...), reads: l.reads, writes: l.writes}
	})
	return c
}

// disarm takes every hook off.
func (tc *testCluster) removeHooks() {
	for _, n := range tc.nodes {
		n.SetHook(nil)
	}
	tc.store.SetHook(nil)
	tc.failoverHook.Store(nil)
	tc.loadHook.Store(nil)
}

// revive starts what a step has stopped: the first primary, or a drained instance.
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

// waitUntilServing waits until a write and a fresh read go through every instance.
func (tc *testCluster) waitUntilServing() []string {
	deadline := time.Now().Add(recoveryTimeout)
	var found []string
	for i := range testDomains {
		for {
			err := tc.checkServing(i)
			if err == nil {
				break
			}
			if time.Now().After(deadline) {
				found = append(found, fmt.Sprintf("instance %d does not serve %s after the fault: %v", i, recoveryTimeout, err))
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return found
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
	return c.QueryRow(ctx, "SELECT v FROM kv WHERE k = 'service'"+freshRead).Scan(&v)
}
