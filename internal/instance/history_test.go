package instance

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"
)

var historySeeds = flag.Uint64("history.seeds", 3, "how many seeds each fault's histories run with")

const (
	historyCallers = 8
	// historyReaders is how many of the callers only read and stay at their instance.
	historyReaders = 2
	historyKeys    = 3
	// historyBeforeFault and historyAfterFault are how long callers run before a fault is
	// injected and after it is healed.
	historyBeforeFault = 500 * time.Millisecond
	historyAfterFault  = 1500 * time.Millisecond
	// historyCheckTimeout bounds the linearizability check, in real time. A check takes
	// milliseconds.
	historyCheckTimeout = 2 * time.Minute
	// neverReturned is the return time of an operation with unknown outcome: it may take
	// effect at any time after its call, or never.
	neverReturned = math.MaxInt64
)

// registerInput is an operation on one key. Every write has a unique value.
type registerInput struct {
	key, value string
	write      bool
}

// registerModel is one register per key: a read returns the value last written.
var registerModel = porcupine.Model{
	Partition: partitionByKey,
	Init:      func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		in := input.(registerInput)
		if in.write {
			return true, in.value
		}
		return state == output, state
	},
	DescribeOperation: func(input, output any) string {
		in := input.(registerInput)
		if in.write {
			return fmt.Sprintf("%s := %s", in.key, in.value)
		}
		return fmt.Sprintf("%s = %q", in.key, output)
	},
}

func partitionByKey(history []porcupine.Operation) [][]porcupine.Operation {
	byKey := make(map[string][]porcupine.Operation)
	for _, o := range history {
		key := o.Input.(registerInput).key
		byKey[key] = append(byKey[key], o)
	}
	var parts [][]porcupine.Operation
	for _, part := range byKey {
		parts = append(parts, part)
	}
	return parts
}

// history records the callers' operations and their results.
type history struct {
	mu         sync.Mutex
	ticks      int64
	operations []porcupine.Operation
}

// tick returns a logical time that orders calls and returns even at the same virtual time.
func (h *history) tick() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ticks++
	return h.ticks
}

func (h *history) add(client int, call, end int64, in registerInput, output string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client, Input: in, Call: call, Output: output, Return: end,
	})
}

// counts returns the number of reads, acknowledged writes, and writes of unknown outcome.
func (h *history) counts() (reads, writes, unknown int) {
	for _, o := range h.operations {
		switch {
		case !o.Input.(registerInput).write:
			reads++
		case o.Return == neverReturned:
			unknown++
		default:
			writes++
		}
	}
	return reads, writes, unknown
}

// check tests whether the history of each key is linearizable. It must run outside the
// synctest bubble, because it is bounded in real time.
func (h *history) check() porcupine.CheckResult {
	return porcupine.CheckOperationsTimeout(registerModel, h.operations, historyCheckTimeout)
}

// historyCaller is a session that reads and writes registers and moves between instances.
type historyCaller struct {
	caller
	client   int
	history  *history
	classTag string
	// onlyReads is set if the session never writes and stays at its instance.
	onlyReads bool
}

func (c *historyCaller) run() {
	for c.load.ctx.Err() == nil {
		key := fmt.Sprintf("r%d", c.random.IntN(historyKeys))
		if !c.onlyReads && c.random.IntN(2) == 0 {
			c.write(key)
		} else {
			c.read(key)
		}
		if !c.onlyReads && c.random.IntN(3) == 0 {
			c.moveToAnother(c.random.IntN(2) == 0)
		}
		time.Sleep(time.Duration(10+c.random.IntN(40)) * time.Millisecond)
	}
	c.disconnect()
}

func (c *historyCaller) write(key string) {
	in := registerInput{key: key, value: c.nextKey("v"), write: true}
	sql := fmt.Sprintf("INSERT INTO kv (k, v) VALUES ('%s', '%s') ON CONFLICT (k) DO UPDATE SET v = EXCLUDED.v", in.key, in.value)
	call := c.history.tick()
	o := c.exec(in.value, sql)
	switch o {
	case outcomeAcknowledged:
		c.history.add(c.client, call, c.history.tick(), in, "")
	case outcomeUnknown:
		c.history.add(c.client, call, neverReturned, in, "")
		c.moveToAnother(false)
	case outcomeDidNotRun:
		// The write is not recorded, so that a read which returns its value fails the
		// check.
		c.moveToAnother(false)
	}
}

func (c *historyCaller) read(key string) {
	ctx, cancel := context.WithTimeout(c.load.ctx, requestTimeout)
	defer cancel()
	call := c.history.tick()
	conn := c.connected(ctx)
	if conn == nil {
		return
	}
	var v string
	err := conn.QueryRow(ctx, "SELECT v FROM kv WHERE k = $1"+c.classTag, key).Scan(&v)
	if err != nil && !errors.Is(err, pgx.ErrNoRows) {
		c.moveToAnother(false)
		return
	}
	c.history.add(c.client, call, c.history.tick(), registerInput{key: key}, v)
}

// recordHistory runs callers on a cluster while a fault is injected and healed.
func recordHistory(tc *testCluster, f matrixFault, seed uint64, tag string) *history {
	h := &history{}
	l := &load{cluster: tc, outcomes: make(map[string]outcome)}
	l.ctx, l.stop = context.WithCancel(context.Background())
	for i := range historyCallers {
		c := &historyCaller{client: i, history: h, classTag: tag, onlyReads: i < historyReaders}
		c.load, c.name, c.instance = l, fmt.Sprintf("h%d", i), (len(testDomains)-1+i)%len(testDomains)
		c.random = rand.New(rand.NewPCG(seed, uint64(i)))
		l.callers.Go(c.run)
	}
	time.Sleep(historyBeforeFault)
	f.inject(tc)
	time.Sleep(faultDuration)
	f.heal(tc)
	time.Sleep(historyAfterFault)
	l.stopAndWait()
	return h
}

func findFault(name string) matrixFault {
	for _, f := range allFaults {
		if f.name == name {
			return f
		}
	}
	panic("no fault " + name)
}

// Eight sessions read three keys, and six of them also write and move between instances,
// while the group loses its primary or a failure domain and promotes another member. The
// test guards against a caller that sees an older value than another caller saw before, or
// misses an acknowledged write: the operations on each key must be linearizable. A write of
// unknown outcome may take effect late or never, but only once.
func TestHistoriesAreLinearizable(t *testing.T) {
	for _, name := range []string{"kill primary", "cut domain", "freeze primary", "cut primary one way", "replica far behind"} {
		for seed := uint64(1); seed <= *historySeeds; seed++ {
			t.Run(fmt.Sprintf("%s/seed %d", name, seed), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				var h *history
				withCluster(t, func(tc *testCluster) { h = recordHistory(tc, findFault(name), seed, freshReadTag) })
				reads, writes, unknown := h.counts()
				t.Logf("%d reads, %d writes acknowledged, %d of unknown outcome", reads, writes, unknown)
				is.Equal(h.check(), porcupine.Ok)
				is.True(reads > 50)
				is.True(writes > 50)
			})
		}
	}
}

// The same sessions use a read class that accepts data up to two seconds old while one
// replica lags by 300 ms more than the other. A caller then sees an older value than one
// already acknowledged to another caller, which the class allows and linearizability does
// not. The check of TestHistoriesAreLinearizable must detect it.
func TestHistoryCheckDetectsStaleReads(t *testing.T) {
	is := is.New(t)
	var h *history
	withCluster(t, func(tc *testCluster) {
		tc.nodes[2].SetReplicationLag(300 * time.Millisecond)
		h = recordHistory(tc, findFault("none"), 1, staleReadTag)
	})
	is.Equal(h.check(), porcupine.Illegal)
}
