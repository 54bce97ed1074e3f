package quota

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/topazrock/topazrock/internal/workspace"
)

// modelDepth is how many events the exhaustive model tries in every order.
var modelDepth = flag.Int("model.depth", 4, "events of the exhaustive model of limits")

// modelWalks is how many walks of the model are made, from modelSeed on.
var (
	modelWalks = flag.String("model.walks", "20000", "walks of the model of limits")
	modelSeed  = flag.String("model.seed", "1", "seed of the walks")
)

const (
	// modelStep is the time between two events of the model.
	modelStep = leaseLength / 8
	// modelLimiters is how many limiters a share may go to.
	modelLimiters = 2
)

// modelLimits are those of the model's workspace. Without a tolerance, what is begun in any time t
// is at most burst + rate x t. With a small burst a share that counts twice shows while tokens are
// taken all the time, with a large one when they are taken behind a pause.
var modelLimits = []workspace.Limit{{Rate: 40, Burst: 6}, {Rate: 100, Burst: 250}}

// event is one thing that happens in the model.
type event struct {
	kind    string
	limiter int
	// request and response are after how many steps they arrive; negative if never.
	request, response int
}

// String names the event in the report of a failure.
func (e event) String() string {
	return fmt.Sprintf("%s(%d,%d,%d)", e.kind, e.limiter, e.request, e.response)
}

// delivery is a message on its way.
type delivery struct {
	at time.Time
	do func()
}

// model is one holder of a whole limit and the limiters that it may delegate it to.
type model struct {
	// idle says that nobody takes a token now. Where somebody does, all that buckets hold is
	// taken at each event, so that a share that counts twice shows.
	idle bool

	now       time.Time
	limit     workspace.Limit
	processes int
	limits    *limitsInForce
	shares    *Shares
	limiters  [modelLimiters]*Limiter
	pending   []delivery
	takenAt   []time.Time
	taken     []int
}

func newModel(l workspace.Limit) *model {
	m := &model{now: time.Unix(1000, 0), limit: l, limits: &limitsInForce{}}
	m.limits.set(workspace.Workspace{Name: "w", Limit: l})
	m.restartHolder()
	for n := range m.limiters {
		m.restartLimiter(n)
	}
	return m
}

func (m *model) process() string {
	m.processes++
	return fmt.Sprint("p", m.processes)
}

func (m *model) restartHolder() { m.shares = NewShares(m.process(), m.now) }

func (m *model) restartLimiter(n int) {
	m.limiters[n] = NewLimiter(m.process(), m.now, Tolerance{}, m.limits)
}

func limiterName(n int) string { return fmt.Sprint("l", n) }

// exchange sends a request with a lease to a limiter.
func (m *model) exchange(e event) {
	name := limiterName(e.limiter)
	s, asked := m.shares, m.now
	r := request{Holder: "h", Process: s.process}
	r.Lease = s.lease(name, 1, func(int) string { return name }, m.now)
	m.after(e.request, func() {
		answer := m.limiters[e.limiter].serve(r, m.now)
		m.after(e.response, func() {
			if m.shares != s {
				return
			}
			s.heard(name, answer, asked, m.now)
			var near []string
			for n := range m.limiters {
				near = append(near, limiterName(n))
			}
			s.clear(near, m.now)
		})
	})
}

// after has something happen so many steps from now; never if steps is negative.
func (m *model) after(steps int, do func()) {
	switch {
	case steps == 0:
		do()
	case steps > 0:
		m.pending = append(m.pending, delivery{m.now.Add(time.Duration(steps) * modelStep), do})
	}
}

// pass lets a step of time pass.
func (m *model) pass() {
	m.now = m.now.Add(modelStep)
	due := m.pending
	m.pending = nil
	for _, d := range due {
		if d.at.After(m.now) {
			m.pending = append(m.pending, d)
			continue
		}
		d.do()
	}
	m.drain()
}

// drain takes all that the buckets hold.
func (m *model) drain() {
	if m.idle {
		return
	}
	for _, l := range m.limiters {
		answer := l.serve(request{Holder: "x", Process: "x", Now: map[string]int{"w": 1 << 20}}, m.now)
		if n := answer.Now["w"]; n > 0 {
			m.takenAt, m.taken = append(m.takenAt, m.now), append(m.taken, n)
		}
	}
}

func (m *model) apply(e event) {
	switch e.kind {
	case "exchange":
		m.exchange(e)
	case "limiter restarts":
		m.restartLimiter(e.limiter)
	case "holder restarts":
		m.restartHolder()
	}
	m.drain()
	m.pass()
}

// fault returns what is wrong with what was taken; empty if nothing is.
func (m *model) fault() string {
	for from := range m.taken {
		sum := 0
		for to := from; to < len(m.taken); to++ {
			sum += m.taken[to]
			length := m.takenAt[to].Sub(m.takenAt[from])
			allowed := m.limit.Burst + m.limit.Rate*length.Seconds()
			if float64(sum) > allowed+1e-6 {
				return fmt.Sprintf("%d taken in %v, allowed %.1f", sum, length, allowed)
			}
		}
	}
	return ""
}

// begin brings the model to where the holder has delegated its limit to the first limiter and
// knows the clocks of both.
func (m *model) begin() {
	for _, n := range []int{1, 0, 0} {
		m.apply(event{kind: "exchange", limiter: n})
	}
}

// modelEvents are those that the exhaustive model tries.
func modelEvents() []event {
	events := []event{{kind: "pass"}, {kind: "holder restarts"}, {kind: "limiter restarts", limiter: 0}}
	for n := range modelLimiters {
		for _, request := range []int{0, 6, -1} {
			for _, response := range []int{0, 6, -1} {
				if request < 0 && response >= 0 {
					continue
				}
				events = append(events, event{"exchange", n, request, response})
			}
		}
	}
	return events
}

// Guards against a share that counts at two limiters: every order of a few events, in which
// requests and answers arrive, are late by most of a lease or are lost, and either side restarts.
func TestModelOfLimitsExhaustive(t *testing.T) {
	events := modelEvents()
	order := make([]int, *modelDepth)
	for runs := 0; ; runs++ {
		for n, l := range modelLimits {
			if fault := runOrder(events, order, l, n > 0); fault != "" {
				t.Fatal(fault)
			}
		}
		next := len(order) - 1
		for next >= 0 && order[next] == len(events)-1 {
			order[next] = 0
			next--
		}
		if next < 0 {
			t.Logf("%d runs", runs+1)
			return
		}
		order[next]++
	}
}

// runOrder runs events in an order, with tokens taken all the time or only behind them.
func runOrder(events []event, order []int, l workspace.Limit, idle bool) string {
	m := newModel(l)
	m.begin()
	m.idle = idle
	names := []string{fmt.Sprint("idle ", idle)}
	for _, n := range order {
		m.apply(events[n])
		names = append(names, events[n].String())
	}
	m.idle = false
	for range 16 {
		m.pass()
	}
	if fault := m.fault(); fault != "" {
		return strings.Join(names, " ") + ": " + fault
	}
	return ""
}

// Guards against the same over long walks, with changes of the limit, answers that come in
// another order, and the numbers of instances that holders count.
func TestModelOfLimitsWalks(t *testing.T) {
	_ = flag.Set("rapid.seed", *modelSeed)
	_ = flag.Set("rapid.checks", *modelWalks)
	_ = flag.Set("rapid.nofailfile", "true")
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.SampledFrom(modelLimits).Draw(t, "limit"))
		busy := rapid.Bool().Draw(t, "busy")
		for range rapid.IntRange(10, 120).Draw(t, "length") {
			e := event{
				kind:     rapid.SampledFrom([]string{"exchange", "exchange", "exchange", "exchange", "pass", "limiter restarts", "holder restarts"}).Draw(t, "kind"),
				limiter:  rapid.IntRange(0, modelLimiters-1).Draw(t, "limiter"),
				request:  rapid.IntRange(-1, 12).Draw(t, "request"),
				response: rapid.IntRange(-1, 12).Draw(t, "response"),
			}
			m.idle = !busy && rapid.IntRange(0, 3).Draw(t, "idle") > 0
			m.apply(e)
			if rapid.IntRange(0, 9).Draw(t, "shuffled") == 0 {
				slices.Reverse(m.pending)
			}
		}
		m.idle = false
		m.pass()
		if fault := m.fault(); fault != "" {
			t.Fatal(fault)
		}
	})
}
