package membership

import "slices"

// Placement says how many homes a group has and where.
type Placement struct {
	// PerDomain is the number of homes in each failure domain that has any.
	PerDomain int
	// Domains are the failure domains that have homes, in order; empty for all. A domain that has no
	// instance has no home.
	Domains []string
	// Capable places the homes on instances of high capacity where a failure domain has
	// minCapableHomes of them.
	Capable bool
}

// minCapableHomes is the number of instances of high capacity in a failure domain from which on they
// are the homes of its groups: with fewer, the loss of one would move a large part of the homes.
const minCapableHomes = 4

func (p Placement) equal(other Placement) bool {
	return p.PerDomain == other.PerDomain && p.Capable == other.Capable && slices.Equal(p.Domains, other.Domains)
}

// includes reports whether a failure domain has homes.
func (p Placement) includes(domain string) bool {
	return len(p.Domains) == 0 || slices.Contains(p.Domains, domain)
}
