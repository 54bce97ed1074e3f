package failover

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/platform"
)

// hurried is a clock whose timers fire at once; the model moves Now by hand.
type immediateClock struct{ now time.Time }

// Now implements clock.Clock.
func (c *immediateClock) Now() time.Time { return c.now }

// NewTimer implements clock.Clock.
func (c *immediateClock) NewTimer(time.Duration) *time.Timer { return time.NewTimer(0) }

// AfterFunc implements clock.Clock.
func (c *immediateClock) AfterFunc(_ time.Duration, f func()) *time.Timer {
	return time.AfterFunc(0, f)
}

// fixedView is a view that the model replaces.
type fixedView struct {
	View
	snapshot *group.Snapshot
}

// Snapshot implements View.
func (v *fixedView) Snapshot() *group.Snapshot { return v.snapshot }

// platformCall is one call of a claimer to the platform that the model has not answered.
type platformCall struct {
	put       []byte // nil for a Get
	ifVersion int64
	answer    chan platformAnswer
}

type platformAnswer struct {
	object platform.Object
	err    error
}

// modelClaimer is a claimer, its calls, and the claim it has in progress.
type modelClaimer struct {
	platform.API
	monitor *primaryMonitor
	view    *fixedView
	calls   chan *platformCall
	done    chan claimResult
	// pending is the unanswered call; nil when no claim is in progress.
	pending *platformCall
}

type claimResult struct {
	won claim
	err error
}

// Get implements platform.API.
func (c *modelClaimer) Get(context.Context, platform.Kind, string) (platform.Object, error) {
	return c.call(&platformCall{})
}

// Put implements platform.API.
func (c *modelClaimer) Put(_ context.Context, _ platform.Kind, _ string, value []byte, ifVersion int64) (platform.Object, error) {
	return c.call(&platformCall{put: value, ifVersion: ifVersion})
}

func (c *modelClaimer) call(p *platformCall) (platform.Object, error) {
	p.answer = make(chan platformAnswer)
	c.calls <- p
	a := <-p.answer
	return a.object, a.err
}

// claimModel is the group's object, its claimers, and the puts that are still on
// their way although their claimers gave up on them.
type claimModel struct {
	clock    *immediateClock
	object   platform.Object
	claimers []*modelClaimer
	delayed  []*platformCall
	// granted is which claim the object gave each term to, and won which claim
	// a claimer believes to have won it by.
	granted map[logpos.Term]string
	won     map[logpos.Term]string
	highest logpos.Term
}

func newClaimModel() *claimModel {
	m := &claimModel{
		clock:   &immediateClock{now: time.Unix(1000, 0)},
		granted: map[logpos.Term]string{},
		won:     map[logpos.Term]string{},
	}
	for i := range 3 {
		c := &modelClaimer{view: &fixedView{snapshot: lostPrimary(1)}, calls: make(chan *platformCall), done: make(chan claimResult)}
		settings := DefaultSettings()
		settings.PlatformTimeout = time.Hour // the model decides which calls are late
		c.monitor = newPrimaryMonitor(New(Config{
			Group: "g", Self: platform.Instance{ID: fmt.Sprint("i", i)}, View: c.view, Platform: c,
			Clock: m.clock, Rand: rand.New(rand.NewPCG(1, uint64(i))), Settings: settings,
		}))
		m.claimers = append(m.claimers, c)
	}
	return m
}

// lostPrimary is a group of three whose primary fails in the term.
func lostPrimary(term logpos.Term) *group.Snapshot {
	seen := time.Unix(999, 0)
	return &group.Snapshot{Group: "g", Term: term, Primary: "p", Members: []group.MemberView{
		{Address: "p", Failing: seen, Failures: 9}, {Address: "q", SeenAt: seen}, {Address: "r", SeenAt: seen},
	}}
}

// start begins a claim at an idle claimer.
func (m *claimModel) startClaim(t *rapid.T) {
	c := m.drawClaimer(t, func(c *modelClaimer) bool { return c.pending == nil })
	s := c.view.snapshot
	go func() {
		won, err := c.monitor.claimTerm(context.Background(), s, assessment{cause: CauseLost})
		c.done <- claimResult{won, err}
	}()
	m.awaitNextCall(t, c)
}

// advance waits for the claimer's next call or the end of its claim.
func (m *claimModel) awaitNextCall(t *rapid.T, c *modelClaimer) {
	select {
	case c.pending = <-c.calls:
	case r := <-c.done:
		c.pending = nil
		m.checkResult(t, r)
	}
}

func (m *claimModel) checkResult(t *rapid.T, r claimResult) {
	if r.err != nil {
		if !errors.Is(r.err, ErrLostClaim) && !errors.Is(r.err, ErrRivalClaim) && !errors.Is(r.err, platform.ErrUnavailable) {
			t.Fatalf("claim ended with %v", r.err)
		}
		return
	}
	term, id := r.won.record.Term, r.won.record.Claim
	if other, ok := m.won[term]; ok {
		t.Fatalf("term %d was won by %s and by %s", term, other, id)
	}
	if m.granted[term] != id {
		t.Fatalf("term %d was won by %s; the platform gave it to %q", term, id, m.granted[term])
	}
	m.won[term] = id
}

// answer ends a pending call in one of the ways that a platform can.
func (m *claimModel) answerCall(t *rapid.T) {
	c := m.drawClaimer(t, func(c *modelClaimer) bool { return c.pending != nil })
	p := c.pending
	var a platformAnswer
	switch fault := rapid.IntRange(0, 5).Draw(t, "fault"); {
	case fault == 0:
		a.err = platform.ErrUnavailable
	case fault == 1 && p.put != nil: // takes effect, and the answer is lost
		_, _ = m.applyCall(t, p)
		a.err = platform.ErrOutcomeUnknown
	case fault == 2 && p.put != nil: // lost on the way
		a.err = platform.ErrOutcomeUnknown
	case fault == 3 && p.put != nil: // takes effect later, if it still can
		m.delayed = append(m.delayed, p)
		a.err = platform.ErrOutcomeUnknown
	default:
		a.object, a.err = m.applyCall(t, p)
	}
	p.answer <- a
	m.awaitNextCall(t, c)
}

// arrive lets a delayed put reach the platform.
func (m *claimModel) deliverDelayedPut(t *rapid.T) {
	if len(m.delayed) == 0 {
		t.Skip("none is delayed")
	}
	k := rapid.IntRange(0, len(m.delayed)-1).Draw(t, "delayed")
	p := m.delayed[k]
	m.delayed = append(m.delayed[:k], m.delayed[k+1:]...)
	_, _ = m.applyCall(t, p)
}

// apply does what the platform promises.
func (m *claimModel) applyCall(t *rapid.T, p *platformCall) (platform.Object, error) {
	switch {
	case p.put == nil && m.object.Version == 0:
		return platform.Object{}, platform.ErrNotFound
	case p.put == nil:
		return m.object, nil
	case p.ifVersion != m.object.Version:
		return platform.Object{}, platform.ErrConflict
	}
	m.object = platform.Object{Version: m.object.Version + 1, Value: p.put}
	r, err := decodeRecord(p.put)
	if err != nil || r.Term <= m.highest {
		t.Fatalf("record %s after term %d: %v", p.put, m.highest, err)
	}
	m.highest, m.granted[r.Term] = r.Term, r.Claim
	return m.object, nil
}

// advanceClock lets rival claims run out.
func (m *claimModel) advanceClock(t *rapid.T) {
	m.clock.now = m.clock.now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond)
}

// learn shows an idle claimer the highest term that was claimed.
func (m *claimModel) refreshView(t *rapid.T) {
	c := m.drawClaimer(t, func(c *modelClaimer) bool { return c.pending == nil })
	c.view.snapshot = lostPrimary(max(m.highest, 1))
}

func (m *claimModel) drawClaimer(t *rapid.T, eligible func(*modelClaimer) bool) *modelClaimer {
	var candidates []*modelClaimer
	for _, c := range m.claimers {
		if eligible(c) {
			candidates = append(candidates, c)
		}
	}
	if len(candidates) == 0 {
		t.Skip("no claimer fits")
	}
	return rapid.SampledFrom(candidates).Draw(t, "claimer")
}

// drain answers what is pending so that no goroutine is left.
func (m *claimModel) drainCalls(t *rapid.T) {
	for _, c := range m.claimers {
		for c.pending != nil {
			a := platformAnswer{}
			a.object, a.err = m.applyCall(t, c.pending)
			c.pending.answer <- a
			m.awaitNextCall(t, c)
		}
	}
}

// init fixes the seed, so that every run has the same verdict; the command line
// can set another.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// Claimers claim terms at a platform that fails, loses answers and applies
// updates late. However the calls interleave, a term is won by one claim at
// most, it is the one that the platform holds, and terms only rise.
func TestClaimModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newClaimModel()
		defer m.drainCalls(t)
		t.Repeat(map[string]func(*rapid.T){
			"start":    m.startClaim,
			"answer":   m.answerCall,
			"arrive":   m.deliverDelayedPut,
			"passTime": m.advanceClock,
			"learn":    m.refreshView,
		})
	})
}
