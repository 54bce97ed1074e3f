package instance

import "time"

// isolationThreshold is how long every other failure domain must have been silent: more than two
// questions to each, at another instance every time.
const isolationThreshold = 200 * time.Millisecond

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
type isolationDetector struct {
	// heard is when an answer of each other failure domain last came.
	lastAnswer map[string]time.Time
	// lastCheck is when the silence was last looked at.
	lastCheck time.Time
	// suspected says that the present silence was reported.
	reported bool
}

func newIsolationDetector() isolationDetector {
	return isolationDetector{lastAnswer: make(map[string]time.Time)}
}

// note takes in that an answer of a failure domain came.
func (i *isolationDetector) recordAnswer(domain string, now time.Time) { i.lastAnswer[domain] = now }

// begins reports whether the silence of all other failure domains has just become long
// enough. One that has never answered says nothing. It is called each domainProbeInterval.
func (i *isolationDetector) detectIsolation(now time.Time) bool {
	i.excludeOwnDelay(now)
	silent := len(i.lastAnswer) > 0
	for _, heard := range i.lastAnswer {
		silent = silent && now.Sub(heard) > isolationThreshold
	}
	begins := silent && !i.reported
	i.reported = silent
	return begins
}

// excludeOwnDelay leaves out of every silence by how much this look comes late.
func (i *isolationDetector) excludeOwnDelay(now time.Time) {
	late := now.Sub(i.lastCheck) - domainProbeInterval
	if !i.lastCheck.IsZero() && late > 0 {
		for domain, heard := range i.lastAnswer {
			i.lastAnswer[domain] = heard.Add(late)
		}
	}
	i.lastCheck = now
}
