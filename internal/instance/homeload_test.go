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

// The load on one member of a group. Statements take a third of the time for which a slot is
// usually in use. One operation in six is a transaction that pauses while it holds its
// connection.
const (
	loadModelStatementTime = 33 * time.Millisecond
	loadModelObjective     = 400 * time.Millisecond
	loadModelTimeout       = time.Second
	loadModelPause         = 600 * time.Millisecond
	loadModelSeed          = 7
)

// loadModel simulates the callers of a whole fleet at one member.
type loadModel struct {
	// gates holds the homes' gates by failure domain, in the order in which the instances
	// of the domain try them.
	gates [][]*admission.PerMember
	slots chan struct{}
	// spread distributes callers over all homes of their failure domain instead of the
	// first.
	spread bool

	mu                     sync.Mutex
	requests, servedInTime int
}

// fleetOf returns instances spread evenly over failure domains.
func fleetOf(instances, domains int) []platform.Instance {
	var all []platform.Instance
	for i := range instances {
		all = append(all, platform.Instance{ID: fmt.Sprint(i), FailureDomain: fmt.Sprint(i % domains)})
	}
	return all
}

// newLoadModel builds the given number of homes in each failure domain, each with its share
// of the connections to one member.
func newLoadModel(g document.Group, domains, perDomain int) *loadModel {
	l := &loadModel{gates: make([][]*admission.PerMember, domains), slots: make(chan struct{}, memberSlots(g))}
	homes := fleetOf(perDomain*domains, domains)
	for k, home := range homes {
		connections := evenShare(g.MemberConnections, homes, home) - controlConnsPerMember
		gate := admission.NewPerMember(admission.Config{
			Group: g.Name, Clock: clock.System{}, Rand: rand.New(rand.NewPCG(loadModelSeed, uint64(k))), Slots: connections,
		})
		l.gates[k%domains] = append(l.gates[k%domains], gate)
	}
	return l
}

// run generates requests at the given rate for the given time, and returns the fraction of
// them that met loadModelObjective.
func (l *loadModel) run(perSecond float64, length time.Duration) float64 {
	random := rand.New(rand.NewPCG(loadModelSeed, 1))
	var all sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); {
		gap := time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		_ = clock.Sleep(context.Background(), clock.System{}, gap)
		domain := random.IntN(len(l.gates))
		work := time.Duration(math.Exp(0.7*random.NormFloat64()-0.245) * float64(loadModelStatementTime))
		var pause time.Duration
		if random.IntN(6) == 0 {
			pause = loadModelPause
		}
		gate := l.gates[domain][0]
		if l.spread {
			gate = l.gates[domain][random.IntN(len(l.gates[domain]))]
		}
		all.Go(func() { l.request(gate, work, pause) })
	}
	all.Wait()
	return float64(l.servedInTime) / float64(l.requests)
}

// request runs one operation at the member through a home's gate.
func (l *loadModel) request(gate *admission.PerMember, work, pause time.Duration) {
	began := time.Now()
	slot, err := gate.Acquire(context.Background(), admission.Request{
		Class: "read", Priority: 2, MaxQueue: 500, Member: "m",
		ObjectiveDeadline: began.Add(loadModelObjective), Deadline: began.Add(loadModelTimeout),
	})
	if err == nil {
		defer slot.Release()
		l.slots <- struct{}{}
		_ = clock.Sleep(context.Background(), clock.System{}, work)
		<-l.slots
		slot.MarkAnswered()
	}
	l.recordResult(err == nil && time.Since(began) <= loadModelObjective)
	if err == nil {
		_ = clock.Sleep(context.Background(), clock.System{}, pause)
	}
}

func (l *loadModel) recordResult(inTime bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests++
	if inTime {
		l.servedInTime++
	}
}

// A fleet of 295 instances in five failure domains loads a group to four fifths of a
// member's capacity. All callers of a failure domain use its first home. With as many homes
// as the connections allow, that home has three connections, transactions hold them during
// their pauses, and callers are refused while the member is idle. With the number of homes
// limited by the member's slots, nearly all requests are served in time.
func TestHotGroupOfALargeFleetIsServedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const domains = 5
		g := document.Group{Name: "g", MemberConnections: 125, Members: make([]document.Member, 3), Slots: 15}
		perSecond := 0.8 * float64(memberSlots(g)) / loadModelStatementTime.Seconds()
		count := homesPerDomain(g, fleetSizeOf(fleetOf(295, domains)))
		byConnections := newLoadModel(g, domains, g.MemberConnections/defaultShare/domains).run(perSecond, 20*time.Second)
		bySlots := newLoadModel(g, domains, count).run(perSecond, 20*time.Second)
		t.Logf("in time: %.3f with homes by connections, %.3f by slots", byConnections, bySlots)
		is.True(bySlots >= 0.95)
		is.True(bySlots > byConnections)
	})
}

// The same group and load with 35 instances, for which there are enough connections to make
// every instance a home. Each home then has two connections besides the control connection,
// a single transaction holds one of them, and callers are refused while the member is idle.
// With the number of homes limited by the member's slots, nearly all requests are served in
// time.
func TestHotGroupOfAMediumFleetIsServedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const domains, instances = 5, 35
		g := document.Group{Name: "g", MemberConnections: 125, Members: make([]document.Member, 3), Slots: 15}
		perSecond := 0.8 * float64(memberSlots(g)) / loadModelStatementTime.Seconds()
		allHomes := newLoadModel(g, domains, instances/domains)
		allHomes.spread = true
		all := allHomes.run(perSecond, 20*time.Second)
		bySlots := newLoadModel(g, domains, min(homesPerDomain(g, fleetSizeOf(fleetOf(instances, domains))), instances/domains)).run(perSecond, 20*time.Second)
		t.Logf("in time: %.3f with every instance a home, %.3f by slots", all, bySlots)
		is.True(bySlots >= 0.95)
	})
}
