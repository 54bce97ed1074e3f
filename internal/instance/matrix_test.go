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
	// struckFor is how long a fault lasts.
	struckFor = 2 * time.Second
	// recovery is how long after a fault every instance must serve again.
	recovery = 15 * time.Second
)

// cell is the outcome of one fault at one step.
type cell struct {
	reached bool
	found   []string
	reads   int
	writes  int
}

func (c cell) verdict() string {
	switch {
	case len(c.found) > 0:
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
	cells := make(map[string]cell)
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
					for _, found := range c.found {
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

func runCell(t *testing.T, f matrixFault, s matrixStep, seed uint64) cell {
	var c cell
	inBed(t, func(b *bed) {
		l := startLoad(b, seed)
		time.Sleep(300 * time.Millisecond)
		var reached atomic.Bool
		s.arm(b, func() {
			reached.Store(true)
			f.strike(b)
		})
		time.Sleep(struckFor)
		b.disarm()
		f.heal(b)
		b.revive()
		found := b.awaitService()
		l.end()
		c = cell{reached: reached.Load(), found: append(found, l.verdict()...), reads: l.reads, writes: l.writes}
	})
	return c
}

// disarm takes every hook off.
func (b *bed) disarm() {
	for _, n := range b.nodes {
		n.SetHook(nil)
	}
	b.store.SetHook(nil)
	b.failoverHook.Store(nil)
	b.loadHook.Store(nil)
}

// revive starts what a step has stopped: the first primary, or a drained instance.
func (b *bed) revive() {
	for i, n := range b.nodes {
		if !n.Running() {
			b.restartMember(i)
		}
	}
	for i := range b.draining {
		err := <-b.ended[i]
		b.ended[i] <- err
		b.replaceInstance(i)
	}
}

// awaitService waits until a write and a fresh read go through every instance.
func (b *bed) awaitService() []string {
	deadline := time.Now().Add(recovery)
	var found []string
	for i := range bedDomains {
		for {
			err := b.tryService(i)
			if err == nil {
				break
			}
			if time.Now().After(deadline) {
				found = append(found, fmt.Sprintf("instance %d does not serve %s after the fault: %v", i, recovery, err))
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return found
}

func (b *bed) tryService(i int) error {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	c, err := pgx.ConnectConfig(ctx, b.config(i, ""))
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
