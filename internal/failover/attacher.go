package failover

import (
	"context"
	"sync"
	"time"

	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/member"
)

// attacher tells members that come back with an old term, or that were fenced
// and left, to follow the primary. Every instance may do it at any time: the
// calls are idempotent, carry the term, and name a primary that reported itself.
type attacher struct {
	c *Claimer
	// detached is since when each member has been seen detached, and tries how
	// often it was told to follow since then.
	detached map[string]time.Time
	tries    map[string]int
}

func newAttacher(c *Claimer) *attacher {
	return &attacher{c: c, detached: make(map[string]time.Time), tries: make(map[string]int)}
}

// run attaches members until ctx ends.
func (a *attacher) run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := a.c.View.Changes()
		a.attachAll(ctx, a.due(a.c.Clock.Now(), a.c.View.Snapshot()))
		a.c.pause(ctx, a.c.Settings.Reattach, changed)
	}
}

// order is one member that is to follow.
type order struct {
	address string
	term    logpos.Term
	primary string
	bound   time.Duration
}

// due returns the members that have been detached for long enough. The wait is
// staggered by rank, so that mostly one instance does the work.
func (a *attacher) due(now time.Time, s *group.Snapshot) []order {
	primary, known := s.Find(s.Primary)
	healthy := known && answering(primary)
	wait := a.c.Settings.Reattach + time.Duration(rank(a.c.Group, a.c.Self.ID, "", a.c.Instances()))*a.c.Settings.Stagger
	var orders []order
	for _, m := range s.Members {
		if !healthy || m.Address == s.Primary || !answering(m) || !detached(m, s.Term) {
			delete(a.detached, m.Address)
			delete(a.tries, m.Address)
			continue
		}
		since, seen := a.detached[m.Address]
		if !seen {
			a.detached[m.Address] = now
			continue
		}
		if now.Sub(since) >= wait<<min(a.tries[m.Address], maxAttachDoublings) {
			a.detached[m.Address] = now
			bound := callTimeout(a.c.Settings.Call, a.tries[m.Address])
			a.tries[m.Address]++
			orders = append(orders, order{address: m.Address, term: s.Term, primary: s.Primary, bound: bound})
		}
	}
	return orders
}

// maxAttachDoublings bounds how often the wait before one more try doubles. A member
// that does not take the call for long, such as one that is cut off from its
// primary alone, would else be connected to several times a second.
const maxAttachDoublings = 4

// detached reports whether a member neither leads nor follows in the term.
func detached(m group.MemberView, term logpos.Term) bool {
	return m.Status.Entered < term || m.Status.Role == member.RoleFenced
}

func (a *attacher) attachAll(ctx context.Context, orders []order) {
	var wg sync.WaitGroup
	for _, o := range orders {
		wg.Go(func() {
			outcome := outcomeDone
			if err := a.attach(ctx, o); err != nil {
				outcome = outcomeAbandoned
				a.c.log.Warn("Member was not attached.", "member", o.address, "term", o.term, "error", err)
			}
			a.c.Metrics.attaches.WithLabelValues(outcome).Inc()
		})
	}
	wg.Wait()
}

// attach makes one member enter the term and follow.
func (a *attacher) attach(ctx context.Context, o order) error {
	ctx, cancel := context.WithTimeout(ctx, o.bound)
	defer cancel()
	control, err := a.c.Dialer.DialControl(ctx, o.address)
	if err != nil {
		return err
	}
	defer control.Close()
	if _, err := control.EnterTerm(ctx, o.term); err != nil {
		return err
	}
	ticket := a.c.View.Ask()
	s, err := control.Follow(ctx, o.term, o.primary)
	if err == nil {
		a.c.View.Observe(o.address, ticket, s)
	}
	return err
}
