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

// The member of these loads runs five statements at once and queues the rest in order of
// arrival. Seven home instances have seven connections to it each.
const (
	burstHomes     = 7
	burstSlots     = 5
	burstWork      = 33 * time.Millisecond
	burstObjective = 400 * time.Millisecond
	burstTimeout   = time.Second
	// burstCapacity is the maximum number of statements that the member runs per second.
	burstCapacity = float64(burstSlots) / 0.033
	// burstRetries is the number of times that a caller retries after a refusal.
	burstRetries = 2
)

// phase is a period of constant load, given as a fraction of the member's capacity.
// slowdown multiplies the duration of statements.
type phase struct {
	duration time.Duration
	load     float64
	slowdown float64
}

// The replayed loads: the time before the overload, the overload, and the time after it. Except
// in lostReplicaPhases, the first second after the overload is a phase of its own.
var (
	burstPhases       = []phase{{5 * time.Second, 0.5, 1}, {3 * time.Second, 1.5, 1}, {time.Second, 0.5, 1}, {3 * time.Second, 0.5, 1}}
	lostReplicaPhases = []phase{{5 * time.Second, 0.6, 1}, {10 * time.Second, 1.25, 1}, {3 * time.Second, 0.6, 1}}
	slowPhases        = []phase{{5 * time.Second, 0.5, 1}, {5 * time.Second, 0.5, 3}, {time.Second, 0.5, 1}, {4 * time.Second, 0.5, 1}}
)

// tally counts the outcomes of the requests that began in one phase.
type tally struct{ requests, inTime, late, refused int }

// burstLoad replays phases against homes that share a member.
type burstLoad struct {
	homes  []*PerMember
	member chan struct{}
	// firstTryKnown is set if homes know when a caller first tried.
	firstTryKnown bool

	mu      sync.Mutex
	tallies []tally
}

// attemptPlan is one attempt of a caller: the home it uses and the duration of its
// statement.
type attemptPlan struct {
	home int
	work time.Duration
}

// drawAttempts draws all attempts that a caller may need when it arrives, so that the
// outcome of one caller's attempts does not change the random draws of the others.
func drawAttempts(random *rand.Rand, slowdown float64) []attemptPlan {
	all := make([]attemptPlan, 1+burstRetries)
	for i := range all {
		// Lognormal with mean burstWork.
		work := math.Exp(0.7*random.NormFloat64()-0.245) * slowdown * float64(burstWork)
		all[i] = attemptPlan{home: random.IntN(burstHomes), work: time.Duration(work)}
	}
	return all
}

// replay runs phases. Without objectives, the homes know only deadlines and their
// concurrency limit is off.
func replay(seed uint64, objectives bool, phases []phase) []tally {
	return replayLoad(&burstLoad{}, seed, objectives, phases)
}

// replayWithFirstTry is replay with objectives and with homes that know when a caller first
// tried.
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
	var wg sync.WaitGroup
	began := time.Now()
	for _, a := range drawArrivals(seed, phases) {
		_ = clock.Sleep(context.Background(), clock.System{}, a.at-time.Since(began))
		wg.Go(func() { b.runCaller(a.phase, a.attempts, objectives) })
	}
	wg.Wait()
	return b.tallies
}

// arrival is a caller that arrives at a time after the start.
type arrival struct {
	at       time.Duration
	phase    int
	attempts []attemptPlan
}

// drawArrivals draws the callers of all phases in order of arrival.
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

// runCaller makes the attempts of a caller until one is served.
func (b *burstLoad) runCaller(phaseIndex int, attempts []attemptPlan, objectives bool) {
	firstTry := time.Now()
	served := false
	for _, plan := range attempts {
		retryAfter, ok := b.attempt(plan, objectives, firstTry)
		if ok {
			served = true
			break
		}
		_ = clock.Sleep(context.Background(), clock.System{}, retryAfter)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	t := &b.tallies[phaseIndex]
	t.requests++
	switch {
	case !served:
		t.refused++
	case time.Since(firstTry) <= burstObjective:
		t.inTime++
	default:
		t.late++
	}
}

// attempt sends one request to a home, for a caller whose first try began at firstTry. It
// returns the retry-after if the request is refused.
func (b *burstLoad) attempt(plan attemptPlan, objectives bool, firstTry time.Time) (time.Duration, bool) {
	r := Request{Class: "read", Priority: 2, MaxQueue: 500, Member: "m", Deadline: time.Now().Add(burstTimeout)}
	if objectives {
		r.ObjectiveDeadline = time.Now().Add(burstObjective)
	}
	if b.firstTryKnown {
		r.ObjectiveDeadline = firstTry.Add(burstObjective)
	}
	slot, err := b.homes[plan.home].Acquire(context.Background(), r)
	if err != nil {
		e, _ := result.As(err)
		return e.RetryAfter, false
	}
	defer slot.Release()
	b.member <- struct{}{}
	_ = clock.Sleep(context.Background(), clock.System{}, plan.work)
	<-b.member
	return 0, true
}

// fraction returns n as a fraction of all requests.
func (t tally) fraction(n int) float64 { return float64(n) / float64(max(t.requests, 1)) }

// logTallies logs the outcomes of a replay.
func logTallies(t *testing.T, name string, tallies []tally) {
	t.Helper()
	for k, tally := range tallies {
		t.Logf("%s, phase %d: %d requests, in time %.2f, late %.2f, refused %.2f", name, k, tally.requests, tally.fraction(tally.inTime), tally.fraction(tally.late), tally.fraction(tally.refused))
	}
}
