package shares

import (
	"fmt"
	"slices"
)

// maxRecordedChanges is how many change IDs a ledger keeps. A writer whose answer was
// lost reads the ledger again within milliseconds to seconds, and a group has a handful
// of writers.
const maxRecordedChanges = 32

// Ledger is the division of one group's total into shares, as stored on the platform.
type Ledger struct {
	// DocumentVersion is the version of the service document that Total comes from.
	DocumentVersion int64   `json:"document"`
	Total           Amount  `json:"total"`
	Shares          []Share `json:"seats"`
	// Changes holds the IDs of the latest changes, the newest last.
	Changes []string `json:"changes"`
}

// clone returns a copy that can be changed without affecting l.
func (l Ledger) clone() Ledger {
	l.Shares = slices.Clone(l.Shares)
	l.Changes = slices.Clone(l.Changes)
	return l
}

// Sum returns the sum of all shares' sizes.
func (l *Ledger) Sum() Amount {
	var sum Amount
	for _, s := range l.Shares {
		sum = sum.Plus(s.Size)
	}
	return sum
}

// shareOf returns the share that h holds, or nil.
func (l *Ledger) shareOf(h Holder) *Share {
	for i := range l.Shares {
		if l.Shares[i].Holder.sameAs(h) {
			return &l.Shares[i]
		}
	}
	return nil
}

// otherHolderAddresses returns the addresses of all holders except self.
func (l *Ledger) otherHolderAddresses(self Holder) []string {
	var addresses []string
	for _, s := range l.Shares {
		if !s.isFree() && !s.Holder.sameAs(self) {
			addresses = append(addresses, s.Holder.Address)
		}
	}
	return addresses
}

// shareNamed returns the share with the given name, or nil.
func (l *Ledger) shareNamed(name string) *Share {
	for i := range l.Shares {
		if l.Shares[i].Name == name {
			return &l.Shares[i]
		}
	}
	return nil
}

// recordChange appends a change ID and drops the oldest beyond maxRecordedChanges.
func (l *Ledger) recordChange(id string) {
	l.Changes = append(l.Changes, id)
	if n := len(l.Changes); n > maxRecordedChanges {
		l.Changes = slices.Clone(l.Changes[n-maxRecordedChanges:])
	}
}

// unallocated returns the part of the total that no share has.
func (l *Ledger) unallocated() Amount { return l.Total.ExcessOver(l.Sum()) }

// raiseToTargets raises shares towards their targets as far as the total allows, and
// reports whether it raised any.
func (l *Ledger) raiseToTargets() bool {
	raised := false
	for i := range l.Shares {
		s := &l.Shares[i]
		part := s.Target.ExcessOver(s.Size).Min(l.unallocated())
		s.Size = s.Size.Plus(part)
		raised = raised || !part.IsZero()
	}
	return raised
}

// fillToTargets distributes an amount taken from the share named source over the other
// shares that are below their target, and returns the remainder.
func (l *Ledger) fillToTargets(source string, amount Amount) Amount {
	for i := range l.Shares {
		s := &l.Shares[i]
		if s.Name == source {
			continue
		}
		part := s.Target.ExcessOver(s.Size).Min(amount)
		s.Size = s.Size.Plus(part)
		amount = amount.Minus(part)
	}
	return amount
}

// trimFreeShares reduces free shares that exceed their target: first by the amount by
// which the sum of all shares exceeds the total, then by what other shares lack to their
// target, which it gives to them. Free shares that have size zero and are no longer in
// the allocation are deleted. It reports whether anything changed.
func (l *Ledger) trimFreeShares() bool {
	changed := false
	for i := range l.Shares {
		s := &l.Shares[i]
		overTarget := s.Size.ExcessOver(s.Target)
		if !s.isFree() || overTarget.IsZero() {
			continue
		}
		dropped := overTarget.Min(l.Sum().ExcessOver(l.Total))
		overTarget = overTarget.Minus(dropped)
		moved := overTarget.Minus(l.fillToTargets(s.Name, overTarget))
		s.Size = s.Size.Minus(dropped).Minus(moved)
		changed = changed || !dropped.Plus(moved).IsZero()
	}
	before := len(l.Shares)
	l.Shares = slices.DeleteFunc(l.Shares, func(s Share) bool {
		return s.isFree() && s.Target.IsZero() && s.Size.IsZero()
	})
	return changed || len(l.Shares) != before
}

// validateChange returns an error if a change makes the sum of the sizes exceed the
// total, or makes a size negative. If the sum already exceeds a lowered total, the change
// must not increase it.
func validateChange(before, after *Ledger) error {
	sum, bound := after.Sum(), after.Total.Max(before.Sum())
	if !sum.Within(bound) {
		return fmt.Errorf("shares: ledger sums to %+v, allowed %+v", sum, bound)
	}
	for _, s := range after.Shares {
		if !(Amount{}).Within(s.Size) {
			return fmt.Errorf("shares: share %s has negative size %+v", s.Name, s.Size)
		}
	}
	return nil
}
