package instance

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/admission"
	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/document"
	"github.com/topazrock/topazrock/internal/platform"
)

// The load of one member of a group: statements of a third of its slots' usual time, one
// operation in six a transaction that pauses with its connection held.
const (
	homeLoadWork      = 33 * time.Millisecond
	homeLoadObjective = 400 * time.Millisecond
	homeLoadTimeout   = time.Second
	homeLoadPause     = 600 * time.Millisecond
	homeLoadSeed      = 7
)

// loadModel replays callers of a whole fleet against one member.
type loadModel struct {
	// gates are the homes' gates, by failure domain in the order in which its instances
	// ask them.
	gates  [][]*admission.PerMember
	member chan struct{}
	// spread has callers come to all homes of their failure domain in place of the first.
	spread bool

	mu               sync.Mutex
	requests, inTime int
}

// fleetOf returns instances spread over failure domains.
func fleetOf(instances, domains int) []platform.Instance {
	var all []platform.Instance
	for i := range instances {
		all = append(all, platform.Instance{ID: fmt.Sprint(i), FailureDomain: fmt.Sprint(i % domains)})
	}
	return all
}

// newLoadModel makes the homes of a group, so many in each failure domain, with the
// connections that they have to one member.
func newLoadModel(g document.Group, domains, perDomain int) *loadModel {
	l := &loadModel{gates: make([][]*admission.PerMember, domains), member: make(chan struct{}, memberSlots(g))}
	homes := fleetOf(perDomain*domains, domains)
	for k, home := range homes {
		connections := evenShare(g.MemberConnections, homes, home) - controlConnsPerMember
		gate := admission.NewPerMember(admission.Config{
			Group: g.Name, Clock: clock.System{}, Rand: rand.New(rand.NewPCG(homeLoadSeed, uint64(k))), Slots: connections,
		})
		l.gates[k%domains] = append(l.gates[k%domains], gate)
	}
	return l
}

// run has callers come for a time, so many a second, and returns the share served in time.
func (l *loadModel) run(perSecond float64, length time.Duration) float64 {
	random := rand.New(rand.NewPCG(homeLoadSeed, 1))
	var all sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); {
		gap := time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		_ = clock.Sleep(context.Background(), clock.System{}, gap)
		domain := random.IntN(len(l.gates))
		work := time.Duration(math.Exp(0.7*random.NormFloat64()-0.245) * float64(homeLoadWork))
		var pause time.Duration
		if random.IntN(6) == 0 {
			pause = homeLoadPause
		}
		gate := l.gates[domain][0]
		if l.spread {
			gate = l.gates[domain][random.IntN(len(l.gates[domain]))]
		}
		all.Go(func() { l.request(gate, work, pause) })
	}
	all.Wait()
	return float64(l.inTime) / float64(l.requests)
}

// request runs one operation through a home's gate at the member.
func (l *loadModel) request(gate *admission.PerMember, work, pause time.Duration) {
	began := time.Now()
	slot, err := gate.Enter(context.Background(), admission.Request{
		Class: "read", Priority: 2, MaxQueue: 500, Member: "m",
		WantedBy: began.Add(homeLoadObjective), Deadline: began.Add(homeLoadTimeout),
	})
	if err == nil {
		defer slot.Release()
		l.member <- struct{}{}
		_ = clock.Sleep(context.Background(), clock.System{}, work)
		<-l.member
		slot.Answered()
	}
	l.recordResult(err == nil && time.Since(began) <= homeLoadObjective)
	if err == nil {
		_ = clock.Sleep(context.Background(), clock.System{}, pause)
	}
}

func (l *loadModel) recordResult(inTime bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests++
	if inTime {
		l.inTime++
	}
}

// A fleet of 295 instances in five failure domains asks a hot group for four fifths of
// what a member can do. Each failure domain sends to its first home. With as many homes as
// the connections allow that home has three, transactions hold them through their pauses,
// and callers are refused while the member is idle. With homes by the member's slots
// nearly all are in time.
func TestHotGroupOfALargeFleetIsServedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const domains = 5
		g := document.Group{Name: "g", MemberConnections: 125, Members: make([]document.Member, 3), Slots: 15}
		perSecond := 0.8 * float64(memberSlots(g)) / homeLoadWork.Seconds()
		count := homesPerDomain(g, fleetSizeOf(fleetOf(295, domains)))
		byConnections := newLoadModel(g, domains, g.MemberConnections/defaultShare/domains).run(perSecond, 20*time.Second)
		bySlots := newLoadModel(g, domains, count).run(perSecond, 20*time.Second)
		t.Logf("in time: %.3f with homes by connections, %.3f by slots", byConnections, bySlots)
		is.True(bySlots >= 0.95)
		is.True(bySlots > byConnections)
	})
}

// The same group and load, and thirty-five instances, for whose homes the connections would
// do. With every instance a home, each has two connections beside the one that follows the
// member, a single transaction holds one of them, and callers are refused while the member is
// idle. With homes by the member's slots nearly all are in time.
func TestHotGroupOfAMediumFleetIsServedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const domains, instances = 5, 35
		g := document.Group{Name: "g", MemberConnections: 125, Members: make([]document.Member, 3), Slots: 15}
		perSecond := 0.8 * float64(memberSlots(g)) / homeLoadWork.Seconds()
		allHomes := newLoadModel(g, domains, instances/domains)
		allHomes.spread = true
		all := allHomes.run(perSecond, 20*time.Second)
		bySlots := newLoadModel(g, domains, min(homesPerDomain(g, fleetSizeOf(fleetOf(instances, domains))), instances/domains)).run(perSecond, 20*time.Second)
		t.Logf("in time: %.3f with every instance a home, %.3f by slots", all, bySlots)
		is.True(bySlots >= 0.95)
	})
}
