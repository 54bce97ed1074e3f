// Package memberchoice chooses the member that a read of this instance is sent to. It combines the
// group's snapshot with what the instance knows of the members: its own load, the connections that
// it can use, and the members' health.
//
// Lock order: Chooser.mu is held while the parts of Config are called, and no other lock may be
// held when a Chooser is called.
package memberchoice

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/memberhealth"
	"github.com/topazrock/topazrock/internal/routing"
)

// Config holds what a Chooser decides by.
type Config struct {
	FailureDomain string
	Tracker       group.Tracker
	Clock         clock.Clock
	// Random is guarded by the Chooser's own lock and must not be used elsewhere.
	Random *rand.Rand
	// ChecksPosition is set if members refuse reads of positions that their log has not reached.
	ChecksPosition bool
	// Running returns how many statements of this instance run at a member, and Waiting how many
	// are queued for it.
	Running, Waiting func(address string) int
	// HasIdle reports whether an owner has an idle connection to a member, and Full whether the
	// owner can get no connection to it.
	HasIdle, Full func(address, owner string) bool
	Lagging       *memberhealth.LaggingReplicas
	Failing       *memberhealth.FailingMembers
	// Health and Positions replace Lagging and Failing while Health is enabled.
	Health    *memberhealth.Tracker
	Positions *memberhealth.Positions
}

// Chooser chooses members for reads.
type Chooser struct {
	Config
	mu sync.Mutex
}

// New returns a Chooser.
func New(c Config) *Chooser { return &Chooser{Config: c} }

// Read is what a read requires of its member.
type Read struct {
	// Owner restricts the read to connections of that owner; empty if connections are shared.
	Owner string
	// Position is the position that the member's log must contain, and MaxAge the maximum age of
	// its data; zero if Position is sufficient.
	Position logpos.Position
	MaxAge   time.Duration
	// Mark is Position with its term, for members that check it themselves.
	Mark logpos.TermPosition
	// Repeatable means that the read can be sent to another member if the first does not answer.
	Repeatable bool
	// Exclude holds the addresses of members that have already failed this read.
	Exclude map[string]bool
}

// ForkRandom returns an independent random source, seeded from Random.
func (c *Chooser) ForkRandom() *rand.Rand {
	c.mu.Lock()
	defer c.mu.Unlock()
	return rand.New(rand.NewPCG(c.Random.Uint64(), c.Random.Uint64()))
}

// Choose returns the member that suits a read best, or false if none may answer it.
func (c *Chooser) Choose(read Read) (group.MemberView, bool) {
	now := c.Clock.Now()
	r := routing.Read{
		Required:             read.Position,
		MemberChecksPosition: c.ChecksPosition,
		FailureDomain:        c.FailureDomain,
		Exclude:              read.Exclude,
		Load:                 func(address string) int { return c.memberLoad(address, read.Owner) },
		SpillToPrimary:       c.primarySpill(),
		Owner:                read.Owner,
		HasIdleConnection:    func(address string) bool { return c.HasIdle(address, read.Owner) },
		Lagging:              func(address string) bool { return c.Lagging.IsLagging(address, now) },
	}
	if read.MaxAge > 0 {
		r.NotBefore = now.Add(-read.MaxAge)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Health.Enabled() {
		return c.chooseByHealth(read, r)
	}
	return routing.ChooseMember(c.Tracker.Snapshot(), r, c.Random)
}

// SpillThreshold is how many more statements of this instance than the primary a replica must have
// before a bounded-staleness read goes to the primary. Without spilling, the loss of one of two
// replicas sends all such reads of a group to the other one, whose queue then also delays the
// confirmation of writes while the primary has free capacity.
const SpillThreshold = 2

// primarySpill returns SpillThreshold, or zero to keep reads off the primary if members do not
// check positions: a read at the primary then needs more than a log position.
func (c *Chooser) primarySpill() int {
	if c.ChecksPosition {
		return SpillThreshold
	}
	return 0
}

// unavailableLoad is added to the load of a member that accepts no connection or at which reads
// fail, so that any other member is preferred.
const unavailableLoad = 1000

// memberLoad returns how many statements of this instance run at a member or are queued for it.
// It adds unavailableLoad if the owner cannot get a connection or if reads fail at the member.
func (c *Chooser) memberLoad(address, owner string) int {
	load := c.Running(address) + c.Waiting(address)
	if c.Full(address, owner) || c.Failing.IsAvoided(address, c.Clock.Now()) {
		load += unavailableLoad
	}
	return load
}
