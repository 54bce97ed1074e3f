package instance

import "time"

// isolationThreshold is how long all other failure domains must have been silent. It covers
// more than two probes of each, every one sent to a different instance than the one before.
const isolationThreshold = 200 * time.Millisecond

// isolationDetector detects that this failure domain is cut off, from the probe answers of
// the others.
//
// It matters because instances probe members only every other second: when a failure domain
// is cut off, the balancer keeps sending it callers, and all of them are refused. A single
// instance, member or failure domain that does not answer is an ordinary failure; all other
// failure domains at the same time are not.
//
// Instances that are short of CPU time, as all are after a restart of the fleet or a large
// manifest, may also get no answers for that long, or get them late. If they mistook this
// for isolation, they would all reopen every connection to members, which takes even more
// CPU time. Therefore an answer counts from when it arrives, however late, and time in which
// this instance did not run its checks does not count as silence. It does no I/O.
type isolationDetector struct {
	// lastAnswer is when each other failure domain last answered.
	lastAnswer map[string]time.Time
	// lastCheck is when detectIsolation was last called.
	lastCheck time.Time
	// reported is set once the current silence has been reported.
	reported bool
}

func newIsolationDetector() isolationDetector {
	return isolationDetector{lastAnswer: make(map[string]time.Time)}
}

// recordAnswer records that a failure domain answered.
func (d *isolationDetector) recordAnswer(domain string, now time.Time) { d.lastAnswer[domain] = now }

// detectIsolation reports whether all other failure domains have just become silent for
// longer than isolationThreshold. It returns true once per silence. A failure domain that
// has never answered is not considered. It must be called every domainProbeInterval.
func (d *isolationDetector) detectIsolation(now time.Time) bool {
	d.excludeOwnDelay(now)
	silent := len(d.lastAnswer) > 0
	for _, last := range d.lastAnswer {
		silent = silent && now.Sub(last) > isolationThreshold
	}
	startsNow := silent && !d.reported
	d.reported = silent
	return startsNow
}

// excludeOwnDelay subtracts the delay of this check from the silence of each failure
// domain.
func (d *isolationDetector) excludeOwnDelay(now time.Time) {
	late := now.Sub(d.lastCheck) - domainProbeInterval
	if !d.lastCheck.IsZero() && late > 0 {
		for domain, last := range d.lastAnswer {
			d.lastAnswer[domain] = last.Add(late)
		}
	}
	d.lastCheck = now
}
