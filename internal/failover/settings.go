package failover

import "time"

// Settings holds the timing parameters of failover. Where members compare terms, none of them
// affects safety.
type Settings struct {
	// DetectionTime is how long probes on new connections must have failed before the primary
	// counts as lost.
	DetectionTime time.Duration
	// StablePeriod is how long the group must have had a primary, without a term increase
	// or a failed probe of it, before earlier term increases stop extending the detection
	// time.
	StablePeriod time.Duration
	// MinFailures is how many consecutive probes on new connections must have failed. After
	// this process was paused, the probe in flight has timed out, but only that one; see
	// group.Watcher.
	MinFailures int
	// Stagger is the delay between the starts of claimers of successive ranks.
	Stagger time.Duration
	// TakeoverTimeout is how long a claimed term may have no primary before another instance
	// claims the next one.
	TakeoverTimeout time.Duration
	// AnnouncedTimeout replaces TakeoverTimeout for a claim whose promotion is announced to a service
	// that does not compare claims. It must exceed AttemptTimeout by more than a process may be
	// paused between its last check of the claim and the request.
	AnnouncedTimeout time.Duration
	// AttemptTimeout limits the duration of a failover, from when its claim was sent.
	AttemptTimeout time.Duration
	// CallTimeout is the timeout of the first try of a call to a member, dialing included.
	CallTimeout time.Duration
	// RetryInterval is the delay between two tries of a call to a member.
	RetryInterval time.Duration
	// WitnessTimeout limits the query of the witnesses.
	WitnessTimeout time.Duration
	// PlatformTimeout is the timeout of one call to the platform.
	PlatformTimeout time.Duration
	// MinBackoff and MaxBackoff bound the delay between tries while the platform
	// does not answer or after a claim failed.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// StallTimeout is how long too few replicas may make progress before a primary that
	// answers is replaced. It must exceed any normal replication lag.
	StallTimeout time.Duration
	// FailingTime is how long a primary that answers status requests must have failed its
	// statements before it is replaced.
	FailingTime time.Duration
	// ReattachDelay is how long a member may be detached before the first-ranked
	// instance attaches it.
	ReattachDelay time.Duration
	// SwitchGrace is how long a planned switch-over waits for a quorum without the
	// members to avoid before it accepts any quorum.
	SwitchGrace time.Duration
	// SwitchCooldown is how long no claim is made after a switch-over that
	// had to promote the same primary again, and no claim for a failing primary after a
	// replacement for that cause.
	SwitchCooldown time.Duration
}

// failingTime is the time without writes that a replacement may cost. A wait of the same length
// costs callers at most twice what they would lose if the end of the failure were known.
const failingTime = time.Second

// DefaultSettings returns settings for one-way latencies of a few milliseconds and
// members that take about 10 ms to open a connection.
func DefaultSettings() Settings {
	return Settings{
		DetectionTime:    150 * time.Millisecond,
		StablePeriod:     5 * time.Second,
		MinFailures:      3,
		Stagger:          100 * time.Millisecond,
		TakeoverTimeout:  400 * time.Millisecond,
		AnnouncedTimeout: 10 * time.Second,
		AttemptTimeout:   5 * time.Second,
		CallTimeout:      100 * time.Millisecond,
		RetryInterval:    20 * time.Millisecond,
		WitnessTimeout:   50 * time.Millisecond,
		PlatformTimeout:  500 * time.Millisecond,
		MinBackoff:       50 * time.Millisecond,
		MaxBackoff:       time.Second,
		StallTimeout:     5 * time.Second,
		FailingTime:      failingTime,
		ReattachDelay:    200 * time.Millisecond,
		SwitchGrace:      500 * time.Millisecond,
		SwitchCooldown:   10 * time.Second,
	}
}
