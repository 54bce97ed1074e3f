// Package session holds the state of a caller's session independently of the caller's
// protocol: the position that its reads must reflect, the open transaction, and the session
// values.
//
// A codec decodes what the caller sends, uses the State to decide which units to run, and
// encodes the answers. A State is used by one goroutine at a time.
package session

import (
	"cmp"
	"slices"

	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/wire"
)

// State is the state of one session.
type State struct {
	// Group is the database group that the session uses.
	Group string
	// Positions are the positions that the session's reads must at least reflect.
	Positions Positions
	// Roaming is set if the caller connected without a token and has had no answer with a
	// token yet: it may have written through another instance.
	Roaming bool
	// Transaction is the ID of the open transaction; empty outside a transaction.
	Transaction string
	// aborted is set if the member has aborted the open transaction.
	aborted bool
	// lost is set if the transaction ended without a request from the caller. Until the
	// caller ends the transaction, its statements are refused: running them would commit
	// each one separately.
	lost bool
	// values holds the session's values, sorted by name. Changes replace the slice, so
	// units may keep a reference to it.
	values []execution.SessionValue
	// Repeats detects operations that the caller sends again.
	Repeats RepeatDetector
}

// Token returns the session's position in its group.
func (s *State) Token() logpos.Token { return s.Positions.Of(s.Group) }

// FillUnit copies the session's state into a unit.
func (s *State) FillUnit(u *execution.Unit) {
	u.Group = s.Group
	u.Token = s.Token()
	u.Roaming = s.Roaming || s.Positions.MayBeMissing(s.Group)
	u.Transaction = s.Transaction
	u.Values = s.values
}

// ApplyReply updates the session from a reply and reports whether the session's token has
// changed.
func (s *State) ApplyReply(r *execution.Reply) bool {
	s.Transaction = r.Transaction
	s.aborted = wire.Status(r.TransactionStatus) == wire.InFailedTransaction
	// A reply without a token gives no information about the session's earlier writes. For
	// example, the first read after a bare BEGIN still requires a barrier.
	s.Roaming = s.Roaming && r.Token.IsZero()
	return s.Positions.Raise(r.Token)
}

// Status returns the transaction status reported to the caller.
func (s *State) Status() wire.Status {
	switch {
	case s.lost || s.aborted:
		return wire.InFailedTransaction
	case s.Transaction != "":
		return wire.InTransaction
	default:
		return wire.Idle
	}
}

// LoseTransaction marks the open transaction as lost; e rolls it back. The caller must still end it.
func (s *State) LoseTransaction(e execution.Executor) {
	s.AbandonTransaction(e)
	s.aborted = false
	s.lost = true
}

// TransactionLost reports whether the transaction was lost and the caller has not ended it yet.
func (s *State) TransactionLost() bool { return s.lost }

// ClearLostTransaction records that the caller has ended its lost transaction.
func (s *State) ClearLostTransaction() { s.lost = false }

// AbandonTransaction ends the open transaction, if any, without committing it; e rolls it back.
func (s *State) AbandonTransaction(e execution.Executor) {
	if s.Transaction != "" {
		e.AbandonTransaction(s.Group, s.Transaction)
	}
	s.Transaction, s.aborted = "", false
}

// MaxValues bounds the values of a session: a connection that is switched to another
// session must be sent all of that session's values.
const MaxValues = 256

// Set sets a session value.
func (s *State) Set(name, value string) {
	next := slices.Clone(s.values)
	i, found := slices.BinarySearchFunc(next, name, func(v execution.SessionValue, n string) int { return cmp.Compare(v.Name, n) })
	if found {
		next[i].Value = value
	} else {
		next = slices.Insert(next, i, execution.SessionValue{Name: name, Value: value})
	}
	s.values = next
}

// Unset removes a session value.
func (s *State) Unset(name string) {
	// Clone, because units may hold a reference to the array.
	s.values = slices.DeleteFunc(slices.Clone(s.values), func(v execution.SessionValue) bool { return v.Name == name })
}

// UnsetAll removes all session values.
func (s *State) UnsetAll() { s.values = nil }

// Values returns the session's values. The slice must not be modified.
func (s *State) Values() []execution.SessionValue { return s.values }
