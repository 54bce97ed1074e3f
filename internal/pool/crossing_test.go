package pool

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/wire"
)

// crossingLoad makes requests whose cancellations, deadlines and releases fall on the same moment
// as the grants of others.
type crossingLoad struct {
	pool    *Limited
	members *fakeMembers
	random  *rand.Rand
	ended   chan wire.Conn
	cancels []context.CancelFunc
	waiting int
	held    []wire.Conn
}

// request makes a request that may be cancelled later or ends at a deadline.
func (l *crossingLoad) request() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+l.random.IntN(4))*openLatency)
	l.cancels = append(l.cancels, cancel)
	address := []string{firstMember, secondMember}[l.random.IntN(2)]
	workspace := []string{"", "north"}[l.random.IntN(2)]
	l.waiting++
	go func() {
		c, _ := l.pool.Acquire(ctx, address, workspace)
		l.ended <- c
	}()
}

// step does one or more things at the same moment, without waiting for the effect of any.
func (l *crossingLoad) step() {
	for range 1 + l.random.IntN(4) {
		switch l.random.IntN(8) {
		case 0, 1:
			l.request()
		case 2, 3:
			for _, c := range l.held {
				go l.pool.Release(c)
			}
			l.held = nil
		case 4, 5:
			for _, cancel := range l.cancels {
				go cancel()
			}
			l.cancels = nil
		case 6:
			l.members.mu.Lock()
			l.members.down[firstMember] = l.random.IntN(3) == 0
			l.members.mu.Unlock()
		case 7:
			go l.pool.SetLimit(l.random.IntN(4))
		}
	}
	time.Sleep(time.Duration(l.random.IntN(3)) * openLatency / 2)
	synctest.Wait()
	for len(l.ended) > 0 {
		l.waiting--
		if c := <-l.ended; c != nil {
			l.held = append(l.held, c)
		}
	}
}

// countStates returns the number of the pool's connections in each state.
func (p *Limited) countStates() map[state]int {
	counted := make(map[state]int)
	for _, pc := range p.conns {
		counted[pc.state]++
	}
	return counted
}

// checkCounts compares every counter with the connections and waiters that it stands for.
func (l *crossingLoad) checkCounts(is *is.I) {
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	counted := p.countStates()
	is.Equal(p.inUse, len(l.held))
	is.Equal(p.inUse, counted[stateInUse])
	is.Equal(p.idle, counted[stateIdle])
	is.Equal(p.probing, counted[stateProbing])
	is.Equal(p.waiters.Len(), l.waiting)
	var idle, inUse, opening, probing int
	for _, m := range p.members {
		var sum workspaceCounts
		for _, c := range m.workspaces {
			sum.idle, sum.inUse, sum.opening, sum.probing = sum.idle+c.idle, sum.inUse+c.inUse, sum.opening+c.opening, sum.probing+c.probing
		}
		is.Equal(sum, workspaceCounts{idle: len(m.idle), inUse: m.inUse, opening: m.opening, probing: m.probing})
		idle, inUse, opening, probing = idle+sum.idle, inUse+sum.inUse, opening+sum.opening, probing+sum.probing
	}
	is.Equal([]int{idle, inUse, opening, probing}, []int{p.idle, p.inUse, p.opening, p.probing})
}

// Guards against a connection that stays counted, for the pool, a member or a workspace, because
// its grant crosses a cancellation, a deadline, a lost member or a change of the limit.
func TestCountsHoldWhenGrantsCrossCancellations(t *testing.T) {
	const steps = 1500
	for seed := range uint64(4) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			members := newFakeMembers()
			l := &crossingLoad{pool: members.newPool(3), members: members, random: rand.New(rand.NewPCG(seed, 1)), ended: make(chan wire.Conn, steps)}
			for n := range steps {
				l.step()
				l.checkCounts(is)
				if t.Failed() {
					t.Fatalf("seed %d, step %d", seed, n)
				}
			}
			for _, c := range l.held {
				l.pool.Release(c)
			}
			for _, cancel := range l.cancels {
				cancel()
			}
			sleep(time.Minute)
			closePool(t, l.pool)
			is.Equal(members.count(), 0)
		})
	}
}
