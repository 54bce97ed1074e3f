package member

import (
	"context"
	"fmt"
	"time"

	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/member"
)

// waitPosition waits until the log reaches position p, the entered term changes,
// the timeout expires or ctx is done.
func (n *Node) waitPosition(ctx context.Context, p logpos.Position, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	n.mu.Lock()
	entered := n.enteredTerm
	for n.enteredTerm == entered && n.log.lastMark().Position < p {
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

// enterTerm fences the node: open transactions can no longer commit, and records
// of older terms are rejected.
func (n *Node) enterTerm(term logpos.Term) error {
	if err := n.checkTerm(term); err != nil || term == n.enteredTerm {
		return err
	}
	n.enteredTerm, n.role, n.primary = term, member.RoleFenced, ""
	n.attachedTerm, n.termStart = 0, 0
	n.stopFollowing()
	for t := range n.lockHolders {
		t.fenced = true
		n.endTransaction(t)
	}
	n.notifyChanged()
	return nil
}

// promote makes the fenced node the primary of its entered term. It does nothing
// if the node already is.
func (n *Node) promote(term logpos.Term) error {
	if err := n.checkTerm(term); err != nil {
		return err
	}
	if n.role == member.RolePrimary && term == n.enteredTerm {
		return nil
	}
	if err := n.checkFenced(term); err != nil {
		return err
	}
	n.role, n.primary, n.attachedTerm = member.RolePrimary, n.opts.Address, term
	n.termStart = n.log.lastMark().Position
	n.appendRecord(n.log.newRecord(term, nil))
	return nil
}

// follow makes the fenced node a replica of the primary of its entered term. On a
// replica of that term it can be called again, also with another address.
func (n *Node) follow(term logpos.Term, primary string) error {
	if err := n.checkTerm(term); err != nil {
		return err
	}
	if n.role == member.RoleReplica && term == n.enteredTerm {
		if n.primary == primary {
			return nil
		}
		n.stopFollowing()
	} else if err := n.checkFenced(term); err != nil {
		return err
	}
	n.role, n.primary = member.RoleReplica, primary
	n.startFollowing()
	n.notifyChanged()
	return nil
}

func (n *Node) checkTerm(term logpos.Term) error {
	if n.process == nil {
		return &sqlError{stateNotInState, "the member is stopped"}
	}
	if term < n.enteredTerm {
		return &sqlError{stateTermPassed, fmt.Sprintf("term %d has passed: term %d was entered", term, n.enteredTerm)}
	}
	return nil
}

func (n *Node) checkFenced(term logpos.Term) error {
	if term != n.enteredTerm || n.role != member.RoleFenced {
		return &sqlError{stateNotInState, fmt.Sprintf("not fenced in term %d: %s of term %d", term, n.role, n.enteredTerm)}
	}
	return nil
}
