package instance

import "time"

// isolatedAfter is how long every other failure domain must have been silent: two questions
// to each, at another instance every time.
const isolatedAfter = 200 * time.Millisecond

// isolation decides by the answers from other failure domains whether this one is cut off.
//
// The load pattern is a failure domain that is cut off while its instances ask members only
// every other second: the balancer goes on sending it callers, and all are refused. One
// silent machine, member or failure domain is an everyday loss; all other failure domains
// silent in the same instant are not. It does no I/O.
type isolation struct {
	// answered is when each other failure domain was last asked something that it answered.
	answered map[string]time.Time
	// suspected says that the present silence was reported.
	suspected bool
}

func newIsolation() isolation { return isolation{answered: make(map[string]time.Time)} }

// note takes in that a failure domain answered what it was asked at a time.
func (i *isolation) note(domain string, asked time.Time) {
	if asked.After(i.answered[domain]) {
		i.answered[domain] = asked
	}
}

// begins reports whether the silence of all other failure domains has just become long
// enough. One that has never answered says nothing.
func (i *isolation) begins(now time.Time) bool {
	silent := len(i.answered) > 0
	for _, asked := range i.answered {
		silent = silent && now.Sub(asked) > isolatedAfter
	}
	begins := silent && !i.suspected
	i.suspected = silent
	return begins
}
