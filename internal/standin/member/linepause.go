package member

import (
	"fmt"

	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/member"
)

// stateBeforePause is the state of a node before PAUSE or STEPDOWN. RESUME restores
// it after PAUSE.
type stateBeforePause struct {
	enteredTerm logpos.Term
	role        member.Role
	primary     string
	// steppedDown is set if the node was a primary that STEPDOWN demoted. RESUME
	// must not make it primary again.
	steppedDown bool
}

// pauseReplication stops a replica from receiving records until RESUME, a promotion
// or a restart. n.mu must be held.
func (n *Node) pauseReplication(term logpos.Term) error {
	if before := n.beforePause; before != nil && before.steppedDown && term > before.enteredTerm {
		// STEPDOWN has demoted the node already. Now it is paused as a replica.
		before.steppedDown, before.role, before.primary = false, member.RoleReplica, ""
		n.enteredTerm = max(n.enteredTerm, term)
		return nil
	}
	if term <= n.enteredTerm {
		return &lineError{"MALFORMED", "the term has passed"}
	}
	if n.beforePause == nil {
		n.beforePause = &stateBeforePause{enteredTerm: n.enteredTerm, role: n.role, primary: n.primary}
	}
	return n.enterTerm(term)
}

// resumeReplication undoes pauseReplication. n.mu must be held.
func (n *Node) resumeReplication() {
	if n.restoreBeforePause() && n.role == member.RoleReplica {
		n.startFollowing()
	}
}

// restoreBeforePause restores the state before a pause, and reports whether the node
// was paused. n.mu must be held.
func (n *Node) restoreBeforePause() bool {
	before := n.beforePause
	if before == nil || before.steppedDown {
		return false
	}
	n.beforePause = nil
	n.enteredTerm, n.role, n.primary = before.enteredTerm, before.role, before.primary
	n.notifyChanged()
	return true
}

// statusLine returns the row of STATUS: role, term, last received position, term of
// the pause (0 if not paused), lag (always 0), busy slots and data connections. n.mu
// must be held.
func (n *Node) statusLine() string {
	role, term, pausedTerm := "replica", n.enteredTerm, logpos.Term(0)
	switch {
	case n.role == member.RolePrimary:
		role = "primary"
	case n.beforePause != nil && !n.beforePause.steppedDown:
		term, pausedTerm = n.beforePause.enteredTerm, n.enteredTerm
	case n.beforePause != nil:
		term = n.beforePause.enteredTerm
	}
	last := n.log.lastMark()
	return fmt.Sprintf("%s %d %d.%d %d %d %d %d", role, term, last.Term, last.Position, pausedTerm, 0, len(n.slots), n.connectionCounts.Open)
}

// PromoteInTerm makes the node the primary of a term with the log it has, as the
// platform's call does.
func (n *Node) PromoteInTerm(term logpos.Term) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return &lineError{"MALFORMED", "the member is not running"}
	}
	n.discardPause(term)
	if err := n.enterTerm(term); err != nil {
		return err
	}
	return n.promote(term)
}

// SetPrimary sets the primary of a term, which members otherwise learn from each other,
// and makes the node its replica. A pause for a later term remains in effect; the
// node then follows this primary after RESUME.
func (n *Node) SetPrimary(term logpos.Term, primary string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil || n.role == member.RolePrimary && n.enteredTerm >= term {
		return
	}
	if before := n.beforePause; before != nil && !before.steppedDown && n.enteredTerm > term {
		before.enteredTerm, before.role, before.primary = max(before.enteredTerm, term), member.RoleReplica, primary
		return
	}
	n.discardPause(term)
	if n.enteredTerm > term || n.enterTerm(term) != nil {
		return
	}
	_ = n.follow(term, primary)
}

// discardPause ends a pause or a step-down when a primary of the given term is
// appointed. The node is then fenced and can enter that term. n.mu must be held.
func (n *Node) discardPause(term logpos.Term) {
	if n.beforePause == nil {
		return
	}
	n.enteredTerm, n.beforePause = min(n.enteredTerm, term-1), nil
	n.role = member.RoleFenced
}
