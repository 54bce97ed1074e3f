package shares

import (
	"fmt"
	"slices"
)

// keptChanges is how many change IDs a ledger remembers. A writer whose answer
// was lost reads again within milliseconds to seconds, and a group has a
// handful of writers.
const keptChanges = 32

// Ledger is the allocation of one group, as stored on the platform.
type Ledger struct {
	// Document is the version of the service document that Total comes from.
	Document int64  `json:"document"`
	Total    Amount `json:"total"`
	Seats    []Seat `json:"seats"`
	// Changes holds the IDs of the latest changes, the newest last.
	Changes []string `json:"changes"`
}

// clone returns a copy that shares nothing that is changed in place.
func (l Ledger) clone() Ledger {
	l.Seats = slices.Clone(l.Seats)
	l.Changes = slices.Clone(l.Changes)
	return l
}

// Sum is what all seats may use together.
func (l *Ledger) Sum() Amount {
	var sum Amount
	for _, s := range l.Seats {
		sum = sum.Plus(s.Size)
	}
	return sum
}

// seatOf returns the seat that a process holds, or nil.
func (l *Ledger) seatOf(h Holder) *Seat {
	for i := range l.Seats {
		if l.Seats[i].Holder.same(h) {
			return &l.Seats[i]
		}
	}
	return nil
}

// others returns the addresses of all holders but one.
func (l *Ledger) others(self Holder) []string {
	var addresses []string
	for _, s := range l.Seats {
		if !s.free() && !s.Holder.same(self) {
			addresses = append(addresses, s.Holder.Address)
		}
	}
	return addresses
}

// seat returns the seat of a name, or nil.
func (l *Ledger) seat(name string) *Seat {
	for i := range l.Seats {
		if l.Seats[i].Name == name {
			return &l.Seats[i]
		}
	}
	return nil
}

// record notes a change.
func (l *Ledger) record(id string) {
	l.Changes = append(l.Changes, id)
	if n := len(l.Changes); n > keptChanges {
		l.Changes = slices.Clone(l.Changes[n-keptChanges:])
	}
}

// room is what the total leaves beside the seats' sizes.
func (l *Ledger) room() Amount { return l.Total.Over(l.Sum()) }

// level raises seats towards their targets as far as the total allows, and
// reports whether there was one to raise.
func (l *Ledger) level() bool {
	raised := false
	for i := range l.Seats {
		s := &l.Seats[i]
		part := s.Target.Over(s.Size).Min(l.room())
		s.Size = s.Size.Plus(part)
		raised = raised || !part.IsZero()
	}
	return raised
}

// giveBack spreads an amount over the seats that are below their target and
// returns what none of them needs.
func (l *Ledger) giveBack(from string, amount Amount) Amount {
	for i := range l.Seats {
		s := &l.Seats[i]
		if s.Name == from {
			continue
		}
		part := s.Target.Over(s.Size).Min(amount)
		s.Size = s.Size.Plus(part)
		amount = amount.Minus(part)
	}
	return amount
}

// settleFree takes from free seats what they have above their target: first what
// the total has no room for, then what other seats lack. Seats that no allocation
// names any more go. It reports whether anything changed.
func (l *Ledger) settleFree() bool {
	changed := false
	for i := range l.Seats {
		s := &l.Seats[i]
		over := s.Size.Over(s.Target)
		if !s.free() || over.IsZero() {
			continue
		}
		dropped := over.Min(l.Sum().Over(l.Total))
		over = over.Minus(dropped)
		moved := over.Minus(l.giveBack(s.Name, over))
		s.Size = s.Size.Minus(dropped).Minus(moved)
		changed = changed || !dropped.Plus(moved).IsZero()
	}
	before := len(l.Seats)
	l.Seats = slices.DeleteFunc(l.Seats, func(s Seat) bool {
		return s.free() && s.Target.IsZero() && s.Size.IsZero()
	})
	return changed || len(l.Seats) != before
}

// checkStep returns an error unless the step from before to after keeps the
// sum within the total. Past a total that was just lowered the sum may only fall.
func checkStep(before, after *Ledger) error {
	sum, bound := after.Sum(), after.Total.Max(before.Sum())
	if !sum.Within(bound) {
		return fmt.Errorf("shares: seats sum to %+v, allowed %+v", sum, bound)
	}
	for _, s := range after.Seats {
		if !(Amount{}).Within(s.Size) {
			return fmt.Errorf("shares: seat %s has size %+v", s.Name, s.Size)
		}
	}
	return nil
}
