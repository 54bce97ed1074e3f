package instance

import "time"

// isolatedAfter is how long every other failure domain must have been silent: more than two
// questions to each, at another instance every time.
const isolatedAfter = 200 * time.Millisecond

// isolation decides by the answers from other failure domains whether this one is cut off.
//
// The load pattern is a failure domain that is cut off while its instances ask members only
// every other second: the balancer goes on sending it callers, and all are refused. One
// silent machine, member or failure domain is an everyday loss; all other failure domains
// silent in the same instant are not.
//
// Instances that are short of processor time, as all are behind a return or a large manifest,
// hear nothing for as long, and answer late. Taken for a cut, that would have all of them open
// every connection to members anew, and be shorter still. So an answer counts when it comes,
// however late, and time in which this instance did not get to look is no silence. It does
// no I/O.
type isolation struct {
	// heard is when an answer of each other failure domain last came.
	heard map[string]time.Time
	// lookedAt is when the silence was last looked at.
	lookedAt time.Time
	// suspected says that the present silence was reported.
	suspected bool
}

func newIsolation() isolation { return isolation{heard: make(map[string]time.Time)} }

// note takes in that an answer of a failure domain came.
func (i *isolation) note(domain string, now time.Time) { i.heard[domain] = now }

// begins reports whether the silence of all other failure domains has just become long
// enough. One that has never answered says nothing. It is called each farInterval.
func (i *isolation) begins(now time.Time) bool {
	i.leaveOut(now)
	silent := len(i.heard) > 0
	for _, heard := range i.heard {
		silent = silent && now.Sub(heard) > isolatedAfter
	}
	begins := silent && !i.suspected
	i.suspected = silent
	return begins
}

// leaveOut leaves out of every silence by how much this look comes late.
func (i *isolation) leaveOut(now time.Time) {
	late := now.Sub(i.lookedAt) - farInterval
	if !i.lookedAt.IsZero() && late > 0 {
		for domain, heard := range i.heard {
			i.heard[domain] = heard.Add(late)
		}
	}
	i.lookedAt = now
}
