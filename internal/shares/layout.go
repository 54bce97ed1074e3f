package shares

import (
	"fmt"
	"slices"
)

// Sizes of seats.
const (
	// usualPooled is how many connections besides those for control a floor has
	// where the total allows, leastPooled where it is small.
	usualPooled = 2
	leastPooled = 1
)

// Allocation is what a group's service document says about its limits.
type Allocation struct {
	// Document is the document's version; a higher one replaces a lower one.
	Document int64
	Total    Amount
	// FailureDomains get a seat each.
	FailureDomains []string
	// Members is how many members the group has, and PerMember how many
	// connections each of them takes, where that is what is limited.
	Members   int
	PerMember int
}

// layout returns the seats for an allocation. Reserve seats have the size of
// the floor and no slots: a successor borrows them, and an unused reserve seat
// then leaves no slot idle. Where the total is small, first floors shrink, then
// reserve seats go, then domains without a seat of their own remain, whose
// instances forward to the others.
func layout(a Allocation, control, reserve int) ([]Seat, error) {
	domains := slices.Sorted(slices.Values(a.FailureDomains))
	domains = slices.Compact(domains)
	floor, reserve := chooseFloor(a.Total.Connections, control, len(domains), reserve)
	if fit := a.Total.Connections / floor; fit < len(domains) {
		domains = domains[:fit]
	}
	if len(domains) == 0 {
		return nil, fmt.Errorf("shares: %d connections are too few: one instance needs %d", a.Total.Connections, floor)
	}
	connections := split(a.Total.Connections-reserve*floor, len(domains))
	slots := split(a.Total.Slots, len(domains))
	var seats []Seat
	for i, domain := range domains {
		target := Amount{connections[i], slots[i]}
		seats = append(seats, Seat{
			Name:          domain,
			FailureDomain: domain,
			Target:        target,
			Floor:         target.Min(Amount{floor, 1}),
		})
	}
	for i := range reserve {
		target := Amount{Connections: floor}
		seats = append(seats, Seat{Name: fmt.Sprintf("reserve-%d", i+1), Target: target, Floor: target})
	}
	return seats, nil
}

// chooseFloor returns the connections of a floor and the number of reserve
// seats that fit.
func chooseFloor(total, control, domains, reserve int) (floor, reserves int) {
	for ; reserve > 0; reserve-- {
		for pooled := usualPooled; pooled >= leastPooled; pooled-- {
			if (domains+reserve)*(control+pooled) <= total {
				return control + pooled, reserve
			}
		}
	}
	if domains*(control+usualPooled) <= total {
		return control + usualPooled, 0
	}
	return control + leastPooled, 0
}

// split divides n into parts that differ by one at most.
func split(n, parts int) []int {
	sizes := make([]int, parts)
	for i := range sizes {
		sizes[i] = n / parts
		if i < n%parts {
			sizes[i]++
		}
	}
	return sizes
}

// relayout applies a newer allocation. Sizes that are too large are lowered
// here only for free seats; holders lower their own.
func (l *Ledger) relayout(a Allocation, control, reserve int) error {
	seats, err := layout(a, control, reserve)
	if err != nil {
		return err
	}
	var merged []Seat
	for _, planned := range seats {
		if old := l.seat(planned.Name); old != nil {
			planned.Size, planned.Holder, planned.Epoch, planned.Mark = old.Size, old.Holder, old.Epoch, old.Mark
		}
		if planned.free() {
			planned.Size = planned.Size.Min(planned.Target)
		}
		merged = append(merged, planned)
	}
	for _, old := range l.Seats {
		planned := slices.ContainsFunc(seats, func(s Seat) bool { return s.Name == old.Name })
		if !planned && !old.free() {
			old.Target, old.Floor = Amount{}, Amount{}
			merged = append(merged, old)
		}
	}
	l.Seats = merged
	l.Document = a.Document
	l.Total = a.Total
	l.level()
	return nil
}
