package group

import "time"

// Intervals are the times by which a Watcher asks its members.
type Intervals struct {
	// PrimaryPoll is the time between two samples of the primary.
	PrimaryPoll time.Duration
	// ReplicaPoll is the time between two reports of a replica nobody waits for.
	ReplicaPoll time.Duration
	// FastPoll replaces both while no write could be confirmed in the term.
	FastPoll time.Duration
	// Probe bounds a status call, and a probe on a new connection from its dial
	// to its report; both longer where answers of late took long. Failing probes
	// start this far apart.
	Probe time.Duration
	// Wait bounds one wait for a position. It is also how long a connection
	// that fell silent under such a wait goes unnoticed.
	Wait time.Duration
	// Away bounds the time between two probes of a member that stays away.
	Away time.Duration
	// Spread is how much later than the best replica the others are asked when
	// somebody waits for a report; zero asks all at once. Where each question
	// costs a place at the member, one answer is mostly enough.
	Spread time.Duration
}

// DefaultIntervals suits one-way latencies of a few milliseconds and members that
// take about 10 ms to open a connection.
func DefaultIntervals() Intervals {
	return Intervals{
		PrimaryPoll: 50 * time.Millisecond,
		ReplicaPoll: 100 * time.Millisecond,
		FastPoll:    20 * time.Millisecond,
		Probe:       50 * time.Millisecond,
		Wait:        200 * time.Millisecond,
		Away:        500 * time.Millisecond,
	}
}
