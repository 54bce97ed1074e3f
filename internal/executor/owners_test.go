package executor

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/member"
	"github.com/topazrock/topazrock/internal/platform"
	"github.com/topazrock/topazrock/internal/pool"
	"github.com/topazrock/topazrock/internal/routing"
	"github.com/topazrock/topazrock/internal/upstream"
	"github.com/topazrock/topazrock/internal/wire"
)

// ownersLoad is the work of many owners of very unequal size at one group: six homes in three
// failure domains, three members, and six connections of each home to each member.
type ownersLoad struct {
	homes    []platform.Instance
	pools    map[string]*pool.Limited
	snapshot group.Snapshot
	random   *rand.Rand
	openings atomic.Int64
	requests int
}

const (
	ownersOpenTime  = 12 * time.Millisecond
	ownersWorkTime  = 20 * time.Millisecond
	ownersPerMember = 6
	ownersRate      = 135
)

func newOwnersLoad() *ownersLoad {
	l := &ownersLoad{homes: orderedHomes(), pools: make(map[string]*pool.Limited), random: rand.New(rand.NewPCG(5, 6))}
	l.snapshot = group.Snapshot{Group: "g", Term: 1, Primary: "m0"}
	for n := range 3 {
		status := member.Status{Role: member.RoleReplica, Entered: 1, Attached: 1}
		if n == 0 {
			status.Role = member.RolePrimary
		}
		l.snapshot.Members = append(l.snapshot.Members, group.MemberView{
			Address: fmt.Sprint("m", n), FailureDomain: fmt.Sprint("z", n), Status: status,
		})
	}
	for n, home := range l.homes {
		p := pool.New(pool.Config{
			Group: "g", Clock: clock.System{}, Rand: rand.New(rand.NewPCG(uint64(n), 1)), Limit: 100,
			Open: func(ctx context.Context, address, _ string) (wire.Conn, error) {
				l.openings.Add(1)
				if err := clock.Sleep(ctx, clock.System{}, ownersOpenTime); err != nil {
					return nil, err
				}
				near, _ := net.Pipe()
				return upstream.NewConn(address, time.Now(), near, nil), nil
			},
			Close: func(_ context.Context, c wire.Conn) error { return c.Close() },
		})
		p.SetMemberLimit(ownersPerMember)
		l.pools[home.ID] = p
	}
	return l
}

// owner draws an owner: the largest begins some thirty times as much as the smallest.
func (l *ownersLoad) owner() string {
	for {
		n := l.random.IntN(75)
		if l.random.Float64()*174 < max(6, 174/float64(n+1)) {
			return fmt.Sprint("w", n)
		}
	}
}

// near returns the homes of a failure domain first.
func (l *ownersLoad) near(domain string) []platform.Instance {
	var near, far []platform.Instance
	for _, i := range l.homes {
		if i.FailureDomain == domain {
			near = append(near, i)
		} else {
			far = append(far, i)
		}
	}
	return append(near, far...)
}

// run plays the load and returns how many openings there were for a request.
func (l *ownersLoad) run(byOwner bool, length time.Duration) float64 {
	var running sync.WaitGroup
	for until := time.Now().Add(length); time.Now().Before(until); {
		time.Sleep(time.Duration(l.random.ExpFloat64() / ownersRate * float64(time.Second)))
		l.requests++
		owner, domain := l.owner(), fmt.Sprint("z", l.random.IntN(3))
		homes := l.near(domain)
		read := routing.Read{FailureDomain: domain, Checked: true, Load: func(string) int { return 0 }}
		p := l.pools[homes[0].ID]
		if byOwner {
			p = l.pools[forOwner(homes, owner)[0].ID]
			read.Owner = owner
			read.Connected = func(address string) bool { return p.Idle(address, owner) }
		}
		address := l.snapshot.Primary
		if l.random.Float64() < 0.87 {
			m, _ := routing.Replica(&l.snapshot, read, l.random)
			address = m.Address
		}
		running.Go(func() {
			c, err := p.Acquire(context.Background(), address, owner)
			if err != nil {
				return
			}
			time.Sleep(ownersWorkTime)
			p.Release(c)
		})
	}
	running.Wait()
	return float64(l.openings.Load()) / float64(l.requests)
}

// Guards against work of many owners that goes to the nearest home and member, where most
// statements open a connection while those of the other homes lie idle.
func TestOwnersOpenFewerConnectionsWhenTheyKeepToAHome(t *testing.T) {
	figures := make(map[bool]float64)
	for _, byOwner := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			l := newOwnersLoad()
			figures[byOwner] = l.run(byOwner, 30*time.Second)
			for _, p := range l.pools {
				_ = p.Close(context.Background())
			}
		})
	}
	t.Logf("openings for a request: %.2f at the nearest, %.2f by owner", figures[false], figures[true])
	is.New(t).True(figures[true] < 0.85*figures[false])
}
