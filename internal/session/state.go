// Package session holds the state of one caller's session, whatever protocol the
// caller speaks: what it must see at least, which transaction is open, and what
// it has set and prepared.
//
// A codec decodes what the caller sends, asks the State which units to run, and
// encodes the answers. A State is used by one goroutine at a time.
package session

import (
	"cmp"
	"slices"

	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/wire"
)

// State is one session's.
type State struct {
	// Group is the database group that the session uses.
	Group string
	// Token is what the session must see at least.
	Token logpos.Token
	// Roaming says that the caller came without a token and has not had an
	// answer here yet: it may have written through another instance.
	Roaming bool
	// Transaction names the open transaction; empty outside of one.
	Transaction string
	// failed says that the member has aborted the open transaction.
	failed bool
	// lost says that the transaction ended without the caller's asking. Until the
	// caller ends it, its statements are refused; running them would commit each
	// on its own.
	lost bool
	// values are the session's values by name, in order. The slice is replaced
	// with every change, so that a unit may keep it.
	values []execution.Value
	// Repeats recognises what the caller sends again.
	Repeats Repeats
}

// Fill sets what a unit takes from the session.
func (s *State) Fill(u *execution.Unit) {
	u.Group = s.Group
	u.Token = s.Token
	u.Roaming = s.Roaming
	u.Transaction = s.Transaction
	u.Values = s.values
}

// Adopt takes over what a reply says of the session. It reports whether the
// session's token has changed.
func (s *State) Adopt(r *execution.Reply) bool {
	s.Transaction = r.Transaction
	s.failed = wire.Status(r.TransactionStatus) == wire.InFailed
	// An answer without a token proves nothing about the session's past: after a
	// bare BEGIN, say, the next read must still take a barrier.
	s.Roaming = s.Roaming && r.Token.IsZero()
	changed := r.Token != s.Token
	s.Token = r.Token
	return changed
}

// Status is the transaction status that the caller is in.
func (s *State) Status() wire.Status {
	switch {
	case s.lost || s.failed:
		return wire.InFailed
	case s.Transaction != "":
		return wire.InTransaction
	default:
		return wire.Idle
	}
}

// Lose gives up the open transaction, which e rolls back. The caller has to end it.
func (s *State) Lose(e execution.Executor) {
	s.Abandon(e)
	s.failed = false
	s.lost = true
}

// Lost reports whether the transaction was lost and the caller has not ended it.
func (s *State) Lost() bool { return s.lost }

// EndLost notes that the caller has ended its lost transaction.
func (s *State) EndLost() { s.lost = false }

// Abandon ends a transaction that is not to be committed; e rolls it back.
func (s *State) Abandon(e execution.Executor) {
	if s.Transaction != "" {
		e.Abandon(s.Group, s.Transaction)
	}
	s.Transaction, s.failed = "", false
}

// MaxValues bounds the values of one session: a connection that changes sessions
// has to be brought all of them.
const MaxValues = 256

// Set gives a session value.
func (s *State) Set(name, value string) {
	next := slices.Clone(s.values)
	i, found := slices.BinarySearchFunc(next, name, func(v execution.Value, n string) int { return cmp.Compare(v.Name, n) })
	if found {
		next[i].Value = value
	} else {
		next = slices.Insert(next, i, execution.Value{Name: name, Value: value})
	}
	s.values = next
}

// Unset takes a session value back.
func (s *State) Unset(name string) {
	// The clone keeps the array that units may hold from being changed.
	s.values = slices.DeleteFunc(slices.Clone(s.values), func(v execution.Value) bool { return v.Name == name })
}

// UnsetAll takes every session value back.
func (s *State) UnsetAll() { s.values = nil }

// Values returns the session's values. They must not be changed.
func (s *State) Values() []execution.Value { return s.values }
