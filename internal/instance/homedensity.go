package instance

import (
	"slices"

	"github.com/topazrock/topazrock/internal/document"
	"github.com/topazrock/topazrock/internal/membership"
)

const (
	// fewHomesAbove is the number of groups to which an instance would be home on average above
	// which a group has one home in each failure domain of its members only. A home follows each
	// member of its group and keeps connections to it whether it has callers or not, so that with
	// many small groups the homes cost more than the requests that they serve.
	fewHomesAbove = 4.0
	// allHomesBelow is the number of groups below which they have all their homes again. It is lower,
	// so that instances that come and go do not move the homes of all groups.
	allHomesBelow = 2.0
	// minHomes is the minimum number of homes of a group.
	minHomes = 2
)

// homeDensity decides whether the groups have few homes. It answers a load pattern of many small
// groups: with ten homes for each of a thousand groups that have two requests a second, a home has a
// request in four seconds, and none keeps a connection in use. It does no I/O.
type homeDensity struct{ few bool }

// update returns whether groups have few homes. known are the groups whose members are known, and
// total is the number of groups in all: members become known one after the other while a fleet
// starts, and homes that were started for the first groups would be retired for the later ones.
func (d *homeDensity) update(known []VersionedGroup, total int, fleet fleetSize) bool {
	if len(known) == 0 || fleet.instances == 0 {
		return d.few
	}
	homes := 0
	for _, g := range known {
		homes += min(homesPerDomain(g.Group, fleet)*fleet.domains, fleet.instances)
	}
	perGroup := float64(homes) / float64(len(known))
	perInstance := perGroup * float64(max(total, len(known))) / float64(fleet.instances)
	switch {
	case perInstance > fewHomesAbove:
		d.few = true
	case perInstance < allHomesBelow:
		d.few = false
	}
	return d.few
}

// fewHomes returns the placement of a group that has few homes: one home in each failure domain of
// its members, so that each member has a home next to it and no home is without one. Callers in a
// failure domain without members have a hop to another one in any case.
//
// The homes are on instances of high capacity. Load pattern: one of a thousand groups gets most
// requests, and nobody knows which one before. Three small instances cannot forward them all.
func fewHomes(g document.Group) membership.Placement {
	var domains []string
	for _, m := range g.Members {
		if m.FailureDomain != "" {
			domains = append(domains, m.FailureDomain)
		}
	}
	slices.Sort(domains)
	domains = slices.Compact(domains)
	if len(domains) < minHomes {
		return membership.Placement{PerDomain: minHomes, Domains: domains, Capable: true}
	}
	return membership.Placement{PerDomain: 1, Domains: domains, Capable: true}
}
