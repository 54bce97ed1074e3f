// Package executor runs units at the members of a group, on an instance that is
// home to the group, and forwards units of other groups to their homes.
//
// A unit's way is the same five steps for reads, writes and transactions, each in one
// file: execute.go begins it; plan.go says what the service document asks for;
// admit.go waits for a slot; place.go chooses the member; exchange.go talks to it;
// conclude.go makes the answer of what came back (concludein.go inside a transaction).
// read.go, primary.go and intransaction.go put the steps together; retries.go says what
// may be tried again, and relay.go what another home is asked to do.
//
// Invariants. A unit's bytes go to at most one primary, once. What a primary
// answered is passed on only after the group confirmed the position at which
// the unit ended, in the primary's term. Before the first byte was written a
// failure is of the did-not-run family; after it, of the outcome-unknown family,
// unless the request's key proves otherwise. A connection belongs to one unit or
// one transaction at a time.
//
// Lock order: transaction.mu, then transactions.mu, running.mu, standby.mu or
// Group.randomMu. The last four are never held together. None is held across I/O
// but transaction.mu, which no other transaction waits for.
package executor

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/topazrock/topazrock/internal/admission"
	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/document"
	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/netio"
	"github.com/topazrock/topazrock/internal/pool"
	"github.com/topazrock/topazrock/internal/retry"
	"github.com/topazrock/topazrock/internal/wire"
)

// Config is what a Group is made of.
type Config struct {
	// Group is the group's name, Instance the ID of this instance.
	Group, Instance string
	FailureDomain   string
	// Service returns the service document in force.
	Service func() *document.Service
	Tracker group.Tracker
	Pool    pool.Pool
	Gate    admission.Gate
	Budget  *retry.Budget
	Clock   clock.Clock
	// Random is used under the Group's own lock; nothing else may use it.
	Random  *rand.Rand
	Dialer  netio.Dialer
	Logger  hclog.Logger
	Metrics *Metrics
	// Wire says what the members' protocol can do.
	Wire wire.Features
	// ConfirmationAge is how old the newest report of an attached replica may be
	// for a write to be sent; zero means a second.
	ConfirmationAge time.Duration
}

// Group runs the units of one group on a home instance.
type Group struct {
	Config
	transactions *transactions
	running      *running
	standby      *standby
	behind       *behind
	failing      *failing
	// homeFinder finds homes that can serve what this one cannot; nil outside a Router.
	homeFinder *homeFinder
	// abandoning counts the rollbacks of abandoned transactions under way.
	abandoning sync.WaitGroup
	// atWork counts units between the router's look-up and their answer.
	atWork atomic.Int64
	// randomMu guards Random.
	randomMu sync.Mutex
}

// NewGroup returns a Group that is ready to run units.
func NewGroup(c Config) *Group {
	c.Logger = c.Logger.Named("executor")
	return &Group{
		Config:       c,
		transactions: newTransactions(c.Instance + transactionSeparator + c.Group),
		running:      newRunning(),
		standby:      newStandby(),
		behind:       newBehind(),
		failing:      newFailing(),
	}
}

// forkRandom returns a random source for one part of the group.
func (g *Group) forkRandom() *rand.Rand {
	g.randomMu.Lock()
	defer g.randomMu.Unlock()
	return rand.New(rand.NewPCG(g.Random.Uint64(), g.Random.Uint64()))
}

// Busy reports whether units are at work or transactions are open.
func (g *Group) Busy() bool { return g.atWork.Load() > 0 || g.OpenTransactions() > 0 }

func (g *Group) leave() { g.atWork.Add(-1) }

// OpenTransactions returns how many transactions are open.
func (g *Group) OpenTransactions() int { return g.transactions.count() }

// transactionSeparator stands behind the instance in a transaction's ID.
const transactionSeparator = "/"
