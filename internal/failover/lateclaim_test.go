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

// slowPlatform stores a claim, takes a second per call, and loses the answer to the Put.
type slowPlatform struct {
	platform.API
	clock  *immediateClock
	stored []byte
}

// Put implements platform.API.
func (p *slowPlatform) Put(_ context.Context, _ platform.Kind, _ string, value []byte, _ platform.Revision) (platform.Object, error) {
	p.stored = value
	p.clock.now = p.clock.now.Add(time.Second)
	return platform.Object{}, platform.ErrOutcomeUnknown
}

// Get implements platform.API.
func (p *slowPlatform) Get(context.Context, platform.Kind, string) (platform.Object, error) {
	p.clock.now = p.clock.now.Add(time.Second)
	return platform.Object{Value: p.stored, Version: 1}, nil
}

// A claim is stored, and its claimer finds out two seconds later. Other instances
// started the claim's timeout when they read it, so another claim may be in effect
// by then. The late claimer must not promote any member.
func TestClaimLearnedLatePromotesNobody(t *testing.T) {
	is := is.New(t)
	clock := &immediateClock{now: time.Unix(1_000_000, 0)}
	store := &slowPlatform{clock: clock}
	settings := DefaultSettings()
	settings.AttemptTimeout = 1500 * time.Millisecond
	c := New(Config{Group: "g", View: ticketView{}, Platform: store, Clock: clock, Rand: rand.New(rand.NewPCG(1, 1)), Settings: settings})
	monitor := newPrimaryMonitor(c)
	sent := clock.now
	won, err := monitor.putClaim(t.Context(), Record{Term: 2, Number: 1, Claim: "a"}, 0)
	is.NoErr(err)
	is.Equal(won.age.StartedAt(), sent)
	a := &attempt{claimer: c, claim: won, term: 2, promoted: make(chan struct{}), abort: func(error) {}}
	is.True(a.remaining() <= 0)
	ctx, cancel := context.WithCancel(t.Context())
	m := &memberAttempt{attempt: a, control: &cancelingControl{cancel: cancel}}
	m.promote(ctx)
	select {
	case <-a.promoted:
		t.Error("a member was promoted")
	default:
	}
}

// ticketView is a View that issues tickets.
type ticketView struct{ View }

// NewTicket implements View.
func (ticketView) NewTicket() group.Ticket { return group.Ticket{} }

// cancelingControl is the connection of a member that must not be promoted. It cancels
// the context when it is closed.
type cancelingControl struct {
	member.Control
	cancel context.CancelFunc
}

// Close implements member.Control.
func (c *cancelingControl) Close() error {
	c.cancel()
	return nil
}
