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
	// historyReaders is how many of the callers only read and do not roam.
	historyReaders = 2
	historyKeys    = 3
	// historyBeforeFault and historyAfterFault are how long callers work before a fault
	// and after its end.
	historyBeforeFault = 500 * time.Millisecond
	historyAfterFault  = 1500 * time.Millisecond
	// historyCheckTimeout bounds the search for an order, in real time. The
	// searches take milliseconds.
	historyCheckTimeout = 2 * time.Minute
	// neverReturned is the end of an operation whose outcome is unknown: it may
	// take effect at any time after its call, or never.
	neverReturned = math.MaxInt64
)

// registerInput is an operation on one key. A write has a value of its own.
type registerInput struct {
	key, value string
	write      bool
}

// registerModel is a register for each key: a read returns what was written last.
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

// history records what callers asked for and were told.
type history struct {
	mu         sync.Mutex
	ticks      int64
	operations []porcupine.Operation
}

// tick counts calls and returns, which orders even those of one virtual instant.
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

// counts returns how many reads, acknowledged writes and writes of unknown
// outcome the history holds.
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

// check searches an order for each key. It runs outside of the bubble, because
// the search is bounded in real time.
func (h *history) check() porcupine.CheckResult {
	return porcupine.CheckOperationsTimeout(registerModel, h.operations, historyCheckTimeout)
}

// historyCaller is a session that reads and writes registers and roams.
type historyCaller struct {
	caller
	client  int
	history *history
	tag     string
	// onlyReads says that the session never writes and stays where it is.
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
	f := c.exec(in.value, sql)
	switch f {
	case outcomeAcknowledged:
		c.history.add(c.client, call, c.history.tick(), in, "")
	case outcomeUnknown:
		c.history.add(c.client, call, neverReturned, in, "")
		c.moveToAnother(false)
	case outcomeDidNotRun:
		// The write is left out: a read that finds its value has no order.
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
	err := conn.QueryRow(ctx, "SELECT v FROM kv WHERE k = $1"+c.tag, key).Scan(&v)
	if err != nil && !errors.Is(err, pgx.ErrNoRows) {
		c.moveToAnother(false)
		return
	}
	c.history.add(c.client, call, c.history.tick(), registerInput{key: key}, v)
}

// recordHistory lets callers work on a bed while a fault strikes.
func recordHistory(tc *testCluster, f matrixFault, seed uint64, tag string) *history {
	h := &history{}
	l := &load{cluster: tc, outcomes: make(map[string]outcome)}
	l.ctx, l.stop = context.WithCancel(context.Background())
	for i := range historyCallers {
		c := &historyCaller{client: i, history: h, tag: tag, onlyReads: i < historyReaders}
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

// Eight sessions read three keys, and six of them write and roam, while the group
// loses its primary or a domain and promotes another member. A caller could then
// see an older value than another caller saw before, or miss an acknowledged
// write. Instead, one order of a key's operations must explain all answers; a
// write of unknown outcome may take effect late or never, but only once.
func TestHistoriesAreLinearizable(t *testing.T) {
	for _, name := range []string{"kill primary", "cut domain", "freeze primary", "cut primary one way", "replica far behind"} {
		for seed := uint64(1); seed <= *historySeeds; seed++ {
			t.Run(fmt.Sprintf("%s/seed %d", name, seed), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				var h *history
				withCluster(t, func(tc *testCluster) { h = recordHistory(tc, findFault(name), seed, freshRead) })
				reads, writes, unknown := h.counts()
				t.Logf("%d reads, %d writes acknowledged, %d of unknown outcome", reads, writes, unknown)
				is.Equal(h.check(), porcupine.Ok)
				is.True(reads > 50)
				is.True(writes > 50)
			})
		}
	}
}

// The same sessions use a read class that accepts data of two seconds while one
// replica is 300 ms behind the other. A caller is then shown a value older than
// one that was acknowledged to another caller, which the class allows and a
// linearizable history does not: the check of the test above must find it.
func TestHistoryCheckDetectsStaleReads(t *testing.T) {
	is := is.New(t)
	var h *history
	withCluster(t, func(tc *testCluster) {
		tc.nodes[2].SetReplicationLag(300 * time.Millisecond)
		h = recordHistory(tc, findFault("none"), 1, agedRead)
	})
	is.Equal(h.check(), porcupine.Illegal)
}
