package failover

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/member"
	"github.com/topazrock/topazrock/internal/platform"
	standin "github.com/topazrock/topazrock/internal/standin/platform"
)

// pauseStep is a step between the choice of the member and the request of its promotion.
type pauseStep string

const (
	pauseBeforeStatus  pauseStep = "before the status"
	pauseAfterStatus   pauseStep = "status answered"
	pauseBeforeUpdate  pauseStep = "announcement not stored"
	pauseBeforeAnswer  pauseStep = "announcement stored, its answer not read"
	pauseBeforeCheck   pauseStep = "announced"
	pauseBeforeRequest pauseStep = "claim checked"
)

var pauseSteps = []pauseStep{pauseBeforeStatus, pauseAfterStatus, pauseBeforeUpdate, pauseBeforeAnswer, pauseBeforeCheck, pauseBeforeRequest}

// unfencedReceiver accepts promotions whatever their claims.
type unfencedReceiver struct {
	mu      sync.Mutex
	numbers []uint64
}

func (r *unfencedReceiver) request(number uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.numbers = append(r.numbers, number)
}

func (r *unfencedReceiver) requested() []uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.numbers)
}

// pausedProcess is a claimer's process that is paused once, at a step. No timer interrupts it: a
// process that resumes may run on before its timers fire. It implements member.Control and, with
// the embedded API, the process's connection to the store; it dials itself.
type pausedProcess struct {
	member.Control
	platform.API
	receiver *unfencedReceiver
	step     pauseStep
	pause    time.Duration
}

func (p *pausedProcess) reach(s pauseStep) {
	if s != p.step {
		return
	}
	p.step = ""
	time.Sleep(p.pause)
}

// Put implements platform.API.
func (p *pausedProcess) Put(_ context.Context, k platform.Kind, name string, value []byte, version platform.Revision) (platform.Object, error) {
	if r, err := decodeRecord(value); err != nil || r.Target == "" {
		return p.API.Put(context.Background(), k, name, value, version)
	}
	p.reach(pauseBeforeUpdate)
	o, err := p.API.Put(context.Background(), k, name, value, version)
	p.reach(pauseBeforeAnswer)
	return o, err
}

// Get implements platform.API.
func (p *pausedProcess) Get(_ context.Context, k platform.Kind, name string) (platform.Object, error) {
	return p.API.Get(context.Background(), k, name)
}

// Promote implements member.Control, in the way of an adapter of a receiver that compares no claims.
func (p *pausedProcess) Promote(_ context.Context, o member.Promotion) (member.Status, error) {
	p.reach(pauseBeforeStatus)
	p.reach(pauseAfterStatus)
	if err := o.Announce(context.Background()); err != nil {
		return member.Status{}, err
	}
	p.reach(pauseBeforeCheck)
	if err := o.Check(); err != nil {
		return member.Status{}, err
	}
	p.reach(pauseBeforeRequest)
	p.receiver.request(o.Claim)
	return member.Status{Role: member.RolePrimary, EnteredTerm: o.Term}, nil
}

// Close implements member.Control.
func (*pausedProcess) Close() error { return nil }

// DialControl implements member.Dialer.
func (p *pausedProcess) DialControl(context.Context, string) (member.Control, error) { return p, nil }

// timerDelay is how long a process that resumes runs on before its timers fire.
const timerDelay = 10 * time.Millisecond

// promotionView is the view of a group that has lost its primary.
type promotionView struct{ fixedView }

// NewTicket implements View.
func (*promotionView) NewTicket() group.Ticket { return group.Ticket{} }

// RecordReport implements View.
func (*promotionView) RecordReport(string, group.Ticket, member.Status) {}

// promotionSettings are those of members whose promotion takes some hundred milliseconds.
func promotionSettings() Settings {
	s := DefaultSettings()
	s.TakeoverTimeout, s.AttemptTimeout = 2*time.Second, 1500*time.Millisecond
	return s
}

// newPausedClaimer returns the monitor of claimer k, whose process is paused at a step.
func newPausedClaimer(s *standin.Store, r *unfencedReceiver, k int, step pauseStep, pause time.Duration) (*primaryMonitor, *pausedProcess) {
	p := &pausedProcess{API: standin.NewView(s), receiver: r, step: step, pause: pause}
	view := &promotionView{fixedView{snapshot: lostPrimary(1)}}
	return newPrimaryMonitor(New(Config{
		Group: "g", Self: platform.Instance{ID: fmt.Sprint("i", k)}, View: view, Platform: p, Dialer: p,
		Clock: clock.System{}, Rand: rand.New(rand.NewPCG(1, uint64(k))), Settings: promotionSettings(),
	})), p
}

// promote requests the promotion of target under a claim, as the attempt's goroutine of that member does.
func (p *pausedProcess) promote(m *primaryMonitor, won claim, target string) {
	ctx, abort := context.WithCancelCause(context.Background())
	defer abort(nil)
	a := newAttempt(m.claimer, won, m.claimer.View.Snapshot())
	a.target, a.abort = target, abort
	expired := time.AfterFunc(max(a.remaining(), p.pause)+timerDelay, func() { abort(errClaimExpired) })
	defer expired.Stop()
	attempt := &memberAttempt{attempt: a, address: target}
	attempt.promote(ctx)
	select {
	case <-a.promoted:
	default:
		a.withdraw(context.Background())
	}
}

// takeOver claims the term as soon as possible, promotes, and returns when it did so.
func (p *pausedProcess) takeOver(t *testing.T, m *primaryMonitor) time.Time {
	for {
		won, err := m.claimOnce()
		if err == nil {
			p.promote(m, won, "r")
			return time.Now()
		}
		time.Sleep(20 * time.Millisecond)
		if t.Context().Err() != nil {
			return time.Time{}
		}
	}
}

// Guards against a promotion under a claim that another claim has replaced while its claimer was
// paused, at any step between the choice of the member and the request.
func TestPausedClaimerRequestsNoPromotionUnderAReplacedClaim(t *testing.T) {
	for _, step := range pauseSteps {
		for _, pause := range []time.Duration{time.Second, 2500 * time.Millisecond, 6 * time.Second, longPause} {
			if step != pauseBeforeRequest || pause != longPause {
				t.Run(fmt.Sprint(step, "/", pause), func(t *testing.T) { checkPausedClaimer(t, step, pause) })
			}
		}
	}
}

// Guards against the same where no check is left: between the last one and the request, for longer
// than others wait.
func TestClaimerPausedLongBetweenCheckAndRequest(t *testing.T) {
	checkPausedClaimer(t, pauseBeforeRequest, longPause)
}

// longPause exceeds the time after which an announced claim is replaced.
const longPause = 30 * time.Second

// checkPausedClaimer pauses a claimer, lets another one take over, and checks that the numbers of the
// requested promotions rise.
func checkPausedClaimer(t *testing.T, step pauseStep, pause time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, receiver := standin.NewStore(), &unfencedReceiver{}
		first, paused := newPausedClaimer(store, receiver, 1, step, pause)
		second, running := newPausedClaimer(store, receiver, 2, "", 0)
		won, err := first.claimOnce()
		is.NoErr(err)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			paused.promote(first, won, "q")
		}()
		running.takeOver(t, second)
		<-ended
		numbers := receiver.requested()
		is.True(len(numbers) > 0)
		is.True(slices.IsSorted(numbers))
		is.Equal(len(slices.Compact(slices.Clone(numbers))), len(numbers))
	})
}

// suspendedClock is the clock of a machine that was suspended, which only the time since its start shows.
type suspendedClock struct {
	clock.System
	suspended *time.Duration
}

// SinceBoot implements clock.BootClock.
func (c suspendedClock) SinceBoot() time.Duration { return *c.suspended }

// Guards against a promotion under a claim that has expired while the machine was suspended.
func TestSuspensionCountsForTheAgeOfAClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var suspended time.Duration
		m, _ := newPausedClaimer(standin.NewStore(), &unfencedReceiver{}, 1, "", 0)
		m.claimer.Clock = suspendedClock{suspended: &suspended}
		won, err := m.claimOnce()
		is.NoErr(err)
		a := newAttempt(m.claimer, won, m.claimer.View.Snapshot())
		var ended error
		a.abort = func(err error) { ended = err }
		is.NoErr(a.Check())
		suspended = m.claimer.Settings.AttemptTimeout
		is.True(errors.Is(a.Check(), errClaimExpired))
		is.True(errors.Is(ended, errClaimExpired))
	})
}

// Guards against a group that stays without a primary for the longer timeout although its claimer
// can say that it requests nothing any more, or never announced a request.
func TestOnlyASilentClaimerThatAnnouncedIsWaitedForLonger(t *testing.T) {
	settings := promotionSettings()
	const never = 24 * time.Hour
	for name, c := range map[string]struct {
		step      pauseStep
		pause     time.Duration
		withinMin time.Duration
		withinMax time.Duration
	}{
		"silent before it announces": {pauseAfterStatus, never, settings.TakeoverTimeout, settings.TakeoverTimeout + time.Second},
		"silent after it announced":  {pauseBeforeCheck, never, settings.AnnouncedTimeout, settings.AnnouncedTimeout + time.Second},
		"withdraws":                  {pauseBeforeCheck, 3 * time.Second, 3 * time.Second, 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store, receiver := standin.NewStore(), &unfencedReceiver{}
				first, paused := newPausedClaimer(store, receiver, 1, c.step, c.pause)
				second, running := newPausedClaimer(store, receiver, 2, "", 0)
				won, err := first.claimOnce()
				is.NoErr(err)
				start := time.Now()
				go paused.promote(first, won, "q")
				took := running.takeOver(t, second).Sub(start)
				is.True(took >= c.withinMin)
				is.True(took <= c.withinMax)
				is.Equal(len(receiver.requested()), 1)
				time.Sleep(c.pause)
			})
		})
	}
}

// Guards against an announcement whose answer is lost and that is taken for another claim, or stored
// twice.
func TestAnnouncementWithLostAnswerIsResolved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, receiver := standin.NewStore(), &unfencedReceiver{}
		m, process := newPausedClaimer(store, receiver, 1, "", 0)
		won, err := m.claimOnce()
		is.NoErr(err)
		store.SetFaults(standin.Faults{LoseResponses: 1})
		process.promote(m, won, "q")
		is.Equal(receiver.requested(), []uint64{won.record.Number})
		r, version, err := m.claimer.readRecord(t.Context())
		is.NoErr(err)
		is.Equal(r.Target, "q")
		is.Equal(version, won.version+1)
	})
}

// Guards against a late request of an earlier claimer that deposes the member that a later one promoted.
func TestMemberThatMayStillBePromotedIsPreferred(t *testing.T) {
	is := is.New(t)
	log := func(p logpos.Position) member.Status {
		return member.Status{LastRecord: logpos.TermPosition{Term: 1, Position: p}}
	}
	requested, other := &memberAttempt{requestedBefore: true}, &memberAttempt{}
	for _, order := range [][]fencedMember{
		{{requested, log(7)}, {other, log(7)}}, {{other, log(7)}, {requested, log(7)}},
	} {
		is.Equal(selectCandidate(order).memberAttempt, requested)
	}
	is.Equal(selectCandidate([]fencedMember{{requested, log(6)}, {other, log(7)}}).memberAttempt, other)
	requested.avoid = true
	is.Equal(selectCandidate([]fencedMember{{requested, log(7)}, {other, log(7)}}).memberAttempt, other)
}
