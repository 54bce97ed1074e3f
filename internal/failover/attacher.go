package failover

import (
	"context"
	"sync"
	"time"

	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/member"
)

// attacher makes detached members follow the primary: those that answer again with an
// old term, and those that were fenced but not attached. Any instance may do so at
// any time: the calls are idempotent, carry the term, and name a primary that
// reported its own role.
type attacher struct {
	claimer *Claimer
	// detachedSince is when each member was first seen detached or was last called, and
	// tries is how many times it was called since it became detached.
	detachedSince map[string]time.Time
	tries         map[string]int
}

func newAttacher(c *Claimer) *attacher {
	return &attacher{claimer: c, detachedSince: make(map[string]time.Time), tries: make(map[string]int)}
}

// run attaches members until ctx ends.
func (a *attacher) run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := a.claimer.View.Changes()
		a.attachAll(ctx, a.dueAttachments(a.claimer.Clock.Now(), a.claimer.View.Snapshot()))
		a.claimer.pause(ctx, a.claimer.Settings.ReattachDelay, changed)
	}
}

// attachment is a call that makes one member follow the primary.
type attachment struct {
	address string
	term    logpos.Term
	primary string
	timeout time.Duration
}

// dueAttachments returns the members that have been detached for long enough. The
// wait is staggered by rank, so that usually a single instance does the work.
func (a *attacher) dueAttachments(now time.Time, s *group.Snapshot) []attachment {
	primary, known := s.FindMember(s.Primary)
	healthy := known && answering(primary)
	wait := a.claimer.Settings.ReattachDelay + time.Duration(rank(a.claimer.Group, a.claimer.Self.ID, "", a.claimer.Instances()))*a.claimer.Settings.Stagger
	var attachments []attachment
	for _, m := range s.Members {
		if !healthy || m.Address == s.Primary || !answering(m) || !isDetached(m, s.Term) {
			delete(a.detachedSince, m.Address)
			delete(a.tries, m.Address)
			continue
		}
		since, seen := a.detachedSince[m.Address]
		if !seen {
			a.detachedSince[m.Address] = now
			continue
		}
		if now.Sub(since) >= wait<<min(a.tries[m.Address], maxAttachDoublings) {
			a.detachedSince[m.Address] = now
			timeout := callTimeout(a.claimer.Settings.CallTimeout, a.tries[m.Address])
			a.tries[m.Address]++
			attachments = append(attachments, attachment{address: m.Address, term: s.Term, primary: s.Primary, timeout: timeout})
		}
	}
	return attachments
}

// maxAttachDoublings limits how often the delay between tries doubles. Without this
// backoff, a member that rejects the call for a long time, such as one that is cut
// off only from its primary, would be dialed several times per second.
const maxAttachDoublings = 4

// isDetached reports whether a member has not entered the term or is fenced in it.
func isDetached(m group.MemberView, term logpos.Term) bool {
	return m.Status.EnteredTerm < term || m.Status.Role == member.RoleFenced
}

func (a *attacher) attachAll(ctx context.Context, attachments []attachment) {
	var wg sync.WaitGroup
	for _, target := range attachments {
		wg.Go(func() {
			outcome := outcomeDone
			if err := a.attachMember(ctx, target); err != nil {
				outcome = outcomeAbandoned
				a.claimer.log.Warn("Attaching a member failed.", "member", target.address, "term", target.term, "error", err)
			}
			a.claimer.Metrics.attaches.WithLabelValues(outcome).Inc()
		})
	}
	wg.Wait()
}

// attachMember makes a member enter the term and follow the primary.
func (a *attacher) attachMember(ctx context.Context, target attachment) error {
	ctx, cancel := context.WithTimeout(ctx, target.timeout)
	defer cancel()
	control, err := a.claimer.Dialer.DialControl(ctx, target.address)
	if err != nil {
		return err
	}
	defer control.Close()
	if _, err := control.EnterTerm(ctx, target.term); err != nil {
		return err
	}
	ticket := a.claimer.View.NewTicket()
	s, err := control.Follow(ctx, target.term, target.primary)
	if err == nil {
		a.claimer.View.RecordReport(target.address, ticket, s)
	}
	return err
}
