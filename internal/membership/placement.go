package membership

import "slices"

// Placement says how many homes a group has and where.
type Placement struct {
	// PerDomain is the number of homes in each failure domain that has any.
	PerDomain int
	// Domains are the failure domains that have homes, in order; empty for all. A domain that has no
	// instance has no home.
	Domains []string
}

func (p Placement) equal(other Placement) bool {
	return p.PerDomain == other.PerDomain && slices.Equal(p.Domains, other.Domains)
}

// includes reports whether a failure domain has homes.
func (p Placement) includes(domain string) bool {
	return len(p.Domains) == 0 || slices.Contains(p.Domains, domain)
}
