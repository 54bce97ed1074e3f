package failover

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/member"
	"github.com/topazrock/topazrock/internal/platform"
)

// slowAnswers is a platform that stores a claim at once and loses the answer; what it
// holds is told seconds later.
type slowAnswers struct {
	platform.API
	clock  *hurried
	stored []byte
}

// Put implements platform.API.
func (s *slowAnswers) Put(_ context.Context, _ platform.Kind, _ string, value []byte, _ int64) (platform.Object, error) {
	s.stored = value
	s.clock.now = s.clock.now.Add(time.Second)
	return platform.Object{}, platform.ErrOutcomeUnknown
}

// Get implements platform.API.
func (s *slowAnswers) Get(context.Context, platform.Kind, string) (platform.Object, error) {
	s.clock.now = s.clock.now.Add(time.Second)
	return platform.Object{Value: s.stored, Version: 1}, nil
}

// A claim is stored at once, and its claimer learns of it two seconds later. Others gave
// it its time from when they read it, so that another claim may stand by now. Nothing
// is promoted for it any more.
func TestClaimLearnedLatePromotesNobody(t *testing.T) {
	is := is.New(t)
	clock := &hurried{now: time.Unix(1_000_000, 0)}
	store := &slowAnswers{clock: clock}
	settings := DefaultSettings()
	settings.Attempt = 1500 * time.Millisecond
	c := New(Config{Group: "g", View: asked{}, Platform: store, Clock: clock, Rand: rand.New(rand.NewPCG(1, 1)), Settings: settings})
	g := newGuard(c)
	sent := clock.now
	won, err := g.put(t.Context(), Record{Term: 2, Number: 1, Claim: "a"}, 0)
	is.NoErr(err)
	is.Equal(won.sent, sent)
	a := &attempt{c: c, claim: won, term: 2, led: make(chan struct{})}
	is.True(a.left() <= 0)
	ctx, end := context.WithCancel(t.Context())
	w := &memberAttempt{a: a, control: &orders{end: end}}
	w.lead(ctx)
	select {
	case <-a.led:
		t.Error("a member was promoted")
	default:
	}
}

// asked is a view that gives out tickets.
type asked struct{ View }

// Ask implements View.
func (asked) Ask() group.Ticket { return group.Ticket{} }

// orders is a member that must not be promoted.
type orders struct {
	member.Control
	end context.CancelFunc
}

// Close implements member.Control.
func (o *orders) Close() error {
	o.end()
	return nil
}
