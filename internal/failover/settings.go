package failover

import "time"

// Settings are the times of failover. None of them bears on safety.
type Settings struct {
	// Detect is how long probes on new connections must have failed.
	Detect time.Duration
	// Calm is how long the term must not have risen, and its primary not have
	// missed a probe, for past rises no longer to lengthen the detection.
	Calm time.Duration
	// MinFailures is how many of them must have failed. A process that was
	// paused finds its probe in flight late, but only one; see Watcher.
	MinFailures int
	// Stagger is the time between the starts of claimers of successive ranks.
	Stagger time.Duration
	// Takeover is how long a claimed term may be without a primary before
	// another claims the next one.
	Takeover time.Duration
	// Attempt bounds the work on one claimed term.
	Attempt time.Duration
	// Call bounds the first try of a call to a member, with its dial.
	Call time.Duration
	// Retry is the time between two tries of a call to a member.
	Retry time.Duration
	// Witness bounds the round of questions to peers.
	Witness time.Duration
	// Platform bounds one call to the platform.
	Platform time.Duration
	// MinBackoff and MaxBackoff bound the time between tries while the platform
	// does not answer or a claim did not go through.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// Stall is how long replicas may not get on before a primary that answers
	// is replaced. It must be above every lag that is normal.
	Stall time.Duration
	// Reattach is how long a member may be detached before the first-ranked
	// instance attaches it.
	Reattach time.Duration
	// SwitchGrace is how long a planned switch-over waits for a majority of the
	// members that stay before it settles for any majority.
	SwitchGrace time.Duration
	// SwitchPause is how long nothing is tried again after a switch-over that
	// had to leave the lead where it was.
	SwitchPause time.Duration
}

// DefaultSettings suits one-way latencies of a few milliseconds and members that
// take about 10 ms to open a connection.
func DefaultSettings() Settings {
	return Settings{
		Detect:      150 * time.Millisecond,
		Calm:        5 * time.Second,
		MinFailures: 3,
		Stagger:     100 * time.Millisecond,
		Takeover:    400 * time.Millisecond,
		Attempt:     5 * time.Second,
		Call:        100 * time.Millisecond,
		Retry:       20 * time.Millisecond,
		Witness:     50 * time.Millisecond,
		Platform:    500 * time.Millisecond,
		MinBackoff:  50 * time.Millisecond,
		MaxBackoff:  time.Second,
		Stall:       5 * time.Second,
		Reattach:    200 * time.Millisecond,
		SwitchGrace: 500 * time.Millisecond,
		SwitchPause: 10 * time.Second,
	}
}
