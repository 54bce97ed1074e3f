package group

import "time"

// Intervals configures how often and with which timeouts a Watcher queries its members.
type Intervals struct {
	// PrimaryPoll is the time between two samples of the primary.
	PrimaryPoll time.Duration
	// ReplicaPoll is the time between two reports of a replica whose reports no waiter needs.
	ReplicaPoll time.Duration
	// FastPoll is the minimum time between two reports while no write can be confirmed in
	// the term.
	FastPoll time.Duration
	// Probe is the minimum timeout of a status query, and of a probe on a new connection
	// from dial to report; both are longer if recent answers took long. It is also the
	// minimum time between the starts of two failing probes.
	Probe time.Duration
	// Wait is the timeout of one wait for a position. It is also how long a connection
	// that falls silent during such a wait goes undetected.
	Wait time.Duration
	// MaxProbeInterval is the maximum time between two probes of an unreachable member, and the time
	// between two probes of an overloaded one.
	MaxProbeInterval time.Duration
	// HedgeDelay is how much later than the best replica the others are queried when a caller
	// waits for a report; zero queries all at the same time. It saves queries where each
	// one takes a connection slot at the member, since one answer is usually enough.
	HedgeDelay time.Duration
}

// DefaultIntervals suits one-way latencies of a few milliseconds and members that take
// about 10 ms to open a connection.
func DefaultIntervals() Intervals {
	return Intervals{
		PrimaryPoll:      50 * time.Millisecond,
		ReplicaPoll:      100 * time.Millisecond,
		FastPoll:         20 * time.Millisecond,
		Probe:            50 * time.Millisecond,
		Wait:             200 * time.Millisecond,
		MaxProbeInterval: 500 * time.Millisecond,
	}
}
