package admission

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/result"
)

const (
	loadSlots    = 5
	meanService  = 20 * time.Millisecond
	loadDuration = 20 * time.Second
	renewalShare = 0.1
	// capacity is the maximum number of requests that the slots serve per second.
	capacity = float64(loadSlots) / 0.020
)

var (
	renewal = Request{Class: "renewal", Priority: 1, MaxQueue: 50}
	lookup  = Request{Class: "lookup", Priority: 5, MaxQueue: 200}
)

// openLoad is an open-loop stream of requests to one controller.
type openLoad struct {
	controller *Controller
	random     *rand.Rand

	mu sync.Mutex
	// completed counts the requests that ended before their deadline, by class.
	completed map[string]int
	// waitTimes holds the time from arrival to admission of admitted requests, by class.
	waitTimes map[string][]time.Duration
	// refusalTimes holds the time from arrival to refusal, by result code.
	refusalTimes map[result.Code][]time.Duration
}

// runLoad offers factor times the capacity and returns the results. A tenth of the requests
// are renewals; at the highest factor, five, they amount to half of the capacity.
func runLoad(factor float64, requestTimeout time.Duration) *openLoad {
	l := &openLoad{
		controller:   New(Config{Group: "contracts", Clock: clock.System{}, Rand: rand.New(rand.NewPCG(3, 4)), Slots: loadSlots}),
		random:       rand.New(rand.NewPCG(5, 6)),
		completed:    make(map[string]int),
		waitTimes:    make(map[string][]time.Duration),
		refusalTimes: make(map[result.Code][]time.Duration),
	}
	var wg sync.WaitGroup
	end := time.Now().Add(loadDuration)
	for time.Now().Before(end) {
		gap := time.Duration(l.random.ExpFloat64() / (capacity * factor) * float64(time.Second))
		_ = clock.Sleep(context.Background(), clock.System{}, gap)
		r := lookup
		if l.random.Float64() < renewalShare {
			r = renewal
		}
		r.Deadline = time.Now().Add(requestTimeout)
		service := time.Duration(l.random.ExpFloat64() * float64(meanService))
		wg.Go(func() { l.request(r, service) })
	}
	wg.Wait()
	return l
}

func (l *openLoad) request(r Request, service time.Duration) {
	arrived := time.Now()
	slot, err := l.controller.Acquire(context.Background(), r)
	waited := time.Since(arrived)
	if err != nil {
		e, _ := result.As(err)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.refusalTimes[e.Code] = append(l.refusalTimes[e.Code], waited)
		return
	}
	_ = clock.Sleep(context.Background(), clock.System{}, service)
	slot.Release()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waitTimes[r.Class] = append(l.waitTimes[r.Class], waited)
	if !time.Now().After(r.Deadline) {
		l.completed[r.Class]++
	}
}

// goodput returns the number of requests per second that ended before their deadline.
func (l *openLoad) goodput() float64 {
	return float64(l.completed["renewal"]+l.completed["lookup"]) / loadDuration.Seconds()
}

// p99 returns the 99th percentile.
func p99(d []time.Duration) time.Duration {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[len(d)*99/100]
}

func TestGoodputHoldsUnderOverload(t *testing.T) {
	// Callers offer two and five times the capacity. Requests that cannot be served in time
	// are refused on arrival, so that the slots keep doing work that is still wanted and
	// renewals are not affected.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		timeout := 500 * time.Millisecond
		var peak float64
		for _, factor := range []float64{0.7, 0.9, 1, 1.2} {
			peak = max(peak, runLoad(factor, timeout).goodput())
		}
		for _, factor := range []float64{2, 5} {
			l := runLoad(factor, timeout)
			t.Logf("load %.0fx: goodput %.1f/s of peak %.1f/s, renewal p99 wait %v, lookup p99 wait %v, refused at once %d, in the queue %d",
				factor, l.goodput(), peak, p99(l.waitTimes["renewal"]), p99(l.waitTimes["lookup"]),
				len(l.refusalTimes[result.DeadlineTooShort])+len(l.refusalTimes[result.QueueFull]),
				len(l.refusalTimes[result.QueueTimeout]))
			is.True(l.goodput() >= 0.9*peak)
			is.Equal(p99(l.refusalTimes[result.DeadlineTooShort]), time.Duration(0))
			is.Equal(p99(l.refusalTimes[result.QueueFull]), time.Duration(0))
			is.True(p99(l.waitTimes["renewal"]) < 5*meanService)
			is.True(len(l.waitTimes["lookup"]) > 0)
		}
	})
}
