package member

import (
	"context"
	"fmt"
	"time"

	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/member"
)

// waitPosition returns when the log reaches a position, the entered term
// changes, or the timeout passes.
func (n *Node) waitPosition(ctx context.Context, p logpos.Position, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	n.mu.Lock()
	entered := n.entered
	for n.entered == entered && n.log.last().Position < p {
		changed := n.changed
		n.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
		n.mu.Lock()
	}
	n.mu.Unlock()
}

// enterTerm fences the node: open transactions can no longer commit, and no
// record of an older term is taken.
func (n *Node) enterTerm(term logpos.Term) error {
	if err := n.checkTerm(term); err != nil || term == n.entered {
		return err
	}
	n.entered, n.role, n.primary = term, member.RoleFenced, ""
	n.attached, n.termStart = 0, 0
	n.stopFollowing()
	for t := range n.writers {
		t.fenced = true
		n.release(t)
	}
	n.notify()
	return nil
}

// promote makes the fenced node the primary of its entered term.
func (n *Node) promote(term logpos.Term) error {
	if err := n.checkTerm(term); err != nil {
		return err
	}
	if n.role == member.RolePrimary && term == n.entered {
		return nil
	}
	if err := n.checkFenced(term); err != nil {
		return err
	}
	n.role, n.primary, n.attached = member.RolePrimary, n.opts.Address, term
	n.termStart = n.log.last().Position
	n.add(n.log.next(term, nil))
	return nil
}

// follow attaches the fenced node to the primary of its entered term. A replica
// of that term may be told again, also with another address.
func (n *Node) follow(term logpos.Term, primary string) error {
	if err := n.checkTerm(term); err != nil {
		return err
	}
	if n.role == member.RoleReplica && term == n.entered {
		if n.primary == primary {
			return nil
		}
		n.stopFollowing()
	} else if err := n.checkFenced(term); err != nil {
		return err
	}
	n.role, n.primary = member.RoleReplica, primary
	n.startFollowing()
	n.notify()
	return nil
}

func (n *Node) checkTerm(term logpos.Term) error {
	if n.life == nil {
		return &sqlError{stateNotInState, "the member is stopped"}
	}
	if term < n.entered {
		return &sqlError{stateTermPassed, fmt.Sprintf("term %d has passed: term %d was entered", term, n.entered)}
	}
	return nil
}

func (n *Node) checkFenced(term logpos.Term) error {
	if term != n.entered || n.role != member.RoleFenced {
		return &sqlError{stateNotInState, fmt.Sprintf("not fenced in term %d: %s of term %d", term, n.role, n.entered)}
	}
	return nil
}
