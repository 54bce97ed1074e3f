package shares

import (
	"fmt"
	"slices"
)

// Numbers of pooled connections in a floor, in addition to control connections.
const (
	// preferredPooled applies where the total is large enough, minPooled otherwise.
	preferredPooled = 2
	minPooled       = 1
)

// Allocation holds a group's limits from the service document.
type Allocation struct {
	// DocumentVersion is the document's version; a higher version replaces a lower one.
	DocumentVersion int64
	Total           Amount
	// FailureDomains get one share each.
	FailureDomains []string
	// Members is the number of members of the group. PerMember is the number of
	// connections that each member accepts, for groups whose members limit connections.
	Members   int
	PerMember int
}

// planShares returns the shares for an allocation. Reserve shares have the size of the
// floor and no slots: the instance that takes one borrows slots, so an unused reserve
// share leaves no slot idle. If the total is small, floors shrink first, then there are
// fewer reserve shares, and then some failure domains get no share; their instances
// forward requests to the others.
func planShares(a Allocation, control, reserve int) ([]Share, error) {
	domains := slices.Sorted(slices.Values(a.FailureDomains))
	domains = slices.Compact(domains)
	floor, reserve := chooseFloor(a.Total.Connections, control, len(domains), reserve)
	if fit := a.Total.Connections / floor; fit < len(domains) {
		domains = domains[:fit]
	}
	if len(domains) == 0 {
		return nil, fmt.Errorf("shares: total of %d connections is too small: one instance needs %d", a.Total.Connections, floor)
	}
	connections := splitEvenly(a.Total.Connections-reserve*floor, len(domains))
	slots := splitEvenly(a.Total.Slots, len(domains))
	var shares []Share
	for i, domain := range domains {
		target := Amount{connections[i], slots[i]}
		shares = append(shares, Share{
			Name:          domain,
			FailureDomain: domain,
			Target:        target,
			Floor:         target.Min(Amount{floor, 1}),
		})
	}
	for i := range reserve {
		target := Amount{Connections: floor}
		shares = append(shares, Share{Name: fmt.Sprintf("reserve-%d", i+1), Target: target, Floor: target})
	}
	return shares, nil
}

// chooseFloor returns the number of connections in a floor, and how many of the wanted
// reserve shares fit into the total.
func chooseFloor(total, control, domains, reserve int) (floor, reserves int) {
	for ; reserve > 0; reserve-- {
		for pooled := preferredPooled; pooled >= minPooled; pooled-- {
			if (domains+reserve)*(control+pooled) <= total {
				return control + pooled, reserve
			}
		}
	}
	if domains*(control+preferredPooled) <= total {
		return control + preferredPooled, 0
	}
	return control + minPooled, 0
}

// splitEvenly divides n into parts that differ by at most one.
func splitEvenly(n, parts int) []int {
	sizes := make([]int, parts)
	for i := range sizes {
		sizes[i] = n / parts
		if i < n%parts {
			sizes[i]++
		}
	}
	return sizes
}

// applyAllocation applies a newer allocation. It lowers the sizes only of free shares;
// holders lower their own.
func (l *Ledger) applyAllocation(a Allocation, control, reserve int) error {
	shares, err := planShares(a, control, reserve)
	if err != nil {
		return err
	}
	var merged []Share
	for _, planned := range shares {
		if old := l.shareNamed(planned.Name); old != nil {
			planned.Size, planned.Holder, planned.Epoch, planned.Mark = old.Size, old.Holder, old.Epoch, old.Mark
		}
		if planned.isFree() {
			planned.Size = planned.Size.Min(planned.Target)
		}
		merged = append(merged, planned)
	}
	for _, old := range l.Shares {
		stillPlanned := slices.ContainsFunc(shares, func(s Share) bool { return s.Name == old.Name })
		if !stillPlanned && !old.isFree() {
			old.Target, old.Floor = Amount{}, Amount{}
			merged = append(merged, old)
		}
	}
	l.Shares = merged
	l.DocumentVersion = a.DocumentVersion
	l.Total = a.Total
	l.raiseToTargets()
	return nil
}
