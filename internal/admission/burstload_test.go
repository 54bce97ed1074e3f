package admission

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/result"
)

// The member of these loads runs five statements at once and queues the rest in the
// order in which they come. Seven homes have seven connections each to it.
const (
	burstHomes     = 7
	burstSlots     = 5
	burstWork      = 33 * time.Millisecond
	burstObjective = 400 * time.Millisecond
	burstTimeout   = time.Second
	// burstCapacity is how many statements a second the member runs at most.
	burstCapacity = float64(burstSlots) / 0.033
	// burstRetries is how often a caller comes back after a refusal.
	burstRetries = 2
)

// phase is a time of constant load, as a part of the member's capacity; slow is how many
// times their usual time statements take meanwhile.
type phase struct {
	duration time.Duration
	load     float64
	slowdown float64
}

// The loads that are replayed: what comes before, the trouble, and what comes behind it.
var (
	burstPhases       = []phase{{5 * time.Second, 0.5, 1}, {3 * time.Second, 1.5, 1}, {time.Second, 0.5, 1}, {3 * time.Second, 0.5, 1}}
	lostReplicaPhases = []phase{{5 * time.Second, 0.6, 1}, {10 * time.Second, 1.25, 1}, {3 * time.Second, 0.6, 1}}
	slowPhases        = []phase{{5 * time.Second, 0.5, 1}, {5 * time.Second, 0.5, 3}, {time.Second, 0.5, 1}, {4 * time.Second, 0.5, 1}}
)

// tally counts what became of the requests that began in one phase.
type tally struct{ requests, inTime, late, refused int }

// burst replays phases against homes that share a member.
type burstLoad struct {
	homes  []*PerMember
	member chan struct{}
	// known says that homes are told when a caller tried first.
	firstTryKnown bool

	mu      sync.Mutex
	tallies []tally
}

// visit is one try of a caller: at which home, and how long the statement takes.
type attemptPlan struct {
	home int
	work time.Duration
}

// visits draws all that a caller may need when it comes, so that what it meets does not
// change what others are given.
func drawAttempts(random *rand.Rand, slow float64) []attemptPlan {
	all := make([]attemptPlan, 1+burstRetries)
	for i := range all {
		// Lognormal with the mean of burstWork.
		work := math.Exp(0.7*random.NormFloat64()-0.245) * slow * float64(burstWork)
		all[i] = attemptPlan{home: random.IntN(burstHomes), work: time.Duration(work)}
	}
	return all
}

// replay runs phases. Without objectives, and with all connections at work, the homes
// decide as if they knew no more than deadlines.
func replay(seed uint64, objectives bool, phases []phase) []tally {
	return replayLoad(&burstLoad{}, seed, objectives, phases)
}

// replayWithFirstTry is replay with objectives where homes are told when a caller tried first.
func replayWithFirstTry(seed uint64, phases []phase) []tally {
	return replayLoad(&burstLoad{firstTryKnown: true}, seed, true, phases)
}

func replayLoad(b *burstLoad, seed uint64, objectives bool, phases []phase) []tally {
	b.member, b.tallies = make(chan struct{}, burstSlots), make([]tally, len(phases))
	for k := range burstHomes {
		p := NewPerMember(Config{Group: "g", Clock: clock.System{}, Rand: rand.New(rand.NewPCG(seed, uint64(k))), Slots: burstHomes})
		if !objectives {
			p.gateFor("m").concurrency.adaptive = false
		}
		b.homes = append(b.homes, p)
	}
	var all sync.WaitGroup
	began := time.Now()
	for _, a := range drawArrivals(seed, phases) {
		_ = clock.Sleep(context.Background(), clock.System{}, a.at-time.Since(began))
		all.Go(func() { b.runCaller(a.phase, a.attempts, objectives) })
	}
	all.Wait()
	return b.tallies
}

// arrival is a caller that comes at a time from the start on.
type arrival struct {
	at       time.Duration
	phase    int
	attempts []attemptPlan
}

// arrivals draws the callers of all phases, in the order in which they come.
func drawArrivals(seed uint64, phases []phase) []arrival {
	random := rand.New(rand.NewPCG(seed, 8))
	var all []arrival
	at := time.Duration(0)
	for k, p := range phases {
		for end := at + p.duration; at < end; {
			at += time.Duration(random.ExpFloat64() / (burstCapacity * p.load) * float64(time.Second))
			all = append(all, arrival{at, k, drawAttempts(random, p.slowdown)})
		}
	}
	return all
}

// caller asks one home after the other until it is served.
func (b *burstLoad) runCaller(k int, mine []attemptPlan, objectives bool) {
	began := time.Now()
	served := false
	for _, v := range mine {
		after, ok := b.attempt(v, objectives, began)
		if ok {
			served = true
			break
		}
		_ = clock.Sleep(context.Background(), clock.System{}, after)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	t := &b.tallies[k]
	t.requests++
	switch {
	case !served:
		t.refused++
	case time.Since(began) <= burstObjective:
		t.inTime++
	default:
		t.late++
	}
}

// try asks a home once for a caller that tried first when it began. A refusal tells when to come
// back.
func (b *burstLoad) attempt(v attemptPlan, objectives bool, began time.Time) (time.Duration, bool) {
	r := Request{Class: "read", Priority: 2, MaxQueue: 500, Member: "m", Deadline: time.Now().Add(burstTimeout)}
	if objectives {
		r.WantedBy = time.Now().Add(burstObjective)
	}
	if b.firstTryKnown {
		r.WantedBy = began.Add(burstObjective)
	}
	slot, err := b.homes[v.home].Enter(context.Background(), r)
	if err != nil {
		e, _ := result.As(err)
		return e.RetryAfter, false
	}
	defer slot.Release()
	b.member <- struct{}{}
	_ = clock.Sleep(context.Background(), clock.System{}, v.work)
	<-b.member
	return 0, true
}

// part is n of the tally's requests.
func (t tally) fraction(n int) float64 { return float64(n) / float64(max(t.requests, 1)) }

// report logs a replay.
func logTallies(t *testing.T, name string, tallies []tally) {
	t.Helper()
	for k, y := range tallies {
		t.Logf("%s, phase %d: %d asked, in time %.2f, late %.2f, refused %.2f", name, k, y.requests, y.fraction(y.inTime), y.fraction(y.late), y.fraction(y.refused))
	}
}
