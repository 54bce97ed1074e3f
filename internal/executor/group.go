// Package executor runs units at the members of a group on an instance that is home to the group,
// and forwards units of other groups to their home instances.
//
// Reads, writes and transactions go through the same steps, each in its own file: execute.go is
// the entry point; plan.go looks up what the service document specifies; admit.go waits for a
// slot; placement.go finds the primary and has package memberchoice choose the member of a read;
// exchange.go talks to the member; complete.go builds the reply (completeintransaction.go inside a
// transaction). read.go, primary.go and intransaction.go combine these steps. health.go records
// what the statements show of the members. retries.go decides what may be retried, and relay.go passes units on to
// another home.
//
// Invariants. A unit is sent to at most one primary, once; it is sent again only if it only reads
// or is proved not to have run. The answer of a primary is passed on only after the group has
// confirmed the log position at which the unit ended, in the primary's term. A failure before the
// first byte is sent belongs to the did-not-run family of result codes; a failure after that
// belongs to the outcome-unknown family, unless the request key proves otherwise. A connection
// belongs to one unit or one transaction at a time.
//
// Lock order: transaction.mu, then transactions.mu, runningUnits.mu or primaryWait.mu. The last
// three are never held together. None is held across I/O except transaction.mu, which no other
// transaction waits for. The chooser's lock is taken before runningUnits.mu.
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
	"github.com/topazrock/topazrock/internal/homechoice"
	"github.com/topazrock/topazrock/internal/memberchoice"
	"github.com/topazrock/topazrock/internal/memberhealth"
	"github.com/topazrock/topazrock/internal/netio"
	"github.com/topazrock/topazrock/internal/pool"
	"github.com/topazrock/topazrock/internal/retry"
	"github.com/topazrock/topazrock/internal/wire"
)

// Config holds the dependencies and settings of a Group.
type Config struct {
	// Group is the group's name, Instance the ID of this instance.
	Group, Instance string
	FailureDomain   string
	// Service returns the service document that is in force.
	Service func() *document.Service
	Tracker group.Tracker
	Pool    pool.Pool
	Gate    admission.Gate
	// WorkspaceWeight returns the weight of a workspace in the order of admission; zero if it
	// has none. Nil means that no workspace has one.
	WorkspaceWeight func(workspace string) int
	Budget          *retry.Budget
	Clock           clock.Clock
	// Random is guarded by the Group's chooser and must not be used elsewhere.
	Random  *rand.Rand
	Dialer  netio.Dialer
	Logger  hclog.Logger
	Metrics *Metrics
	// Health holds the health of the members; nil if it is not derived from statements.
	Health *memberhealth.Tracker
	// Wire lists the features of the members' protocol.
	Wire wire.Features
	// ConfirmationAge is the maximum age of the newest report of an attached replica for a
	// write to be sent; zero means one second.
	ConfirmationAge time.Duration
}

// Group runs the units of one group on a home instance.
type Group struct {
	Config
	transactions    *transactions
	runningUnits    *runningUnits
	primaryWait     *primaryWait
	laggingReplicas *memberhealth.LaggingReplicas
	failingMembers  *memberhealth.FailingMembers
	positions       *memberhealth.Positions
	chooser         *memberchoice.Chooser
	// homeFinder finds homes that can serve units that this one cannot; nil outside a Router.
	homeFinder *homechoice.Finder
	// ownerRates measures the units of each owner that run here.
	ownerRates homechoice.OwnerRates
	// pendingRollbacks tracks the rollbacks of abandoned transactions.
	pendingRollbacks sync.WaitGroup
	// activeUnits counts units from the router's lookup of the group to their answer.
	activeUnits atomic.Int64
}

// NewGroup returns a Group that is ready to run units.
func NewGroup(c Config) *Group {
	c.Logger = c.Logger.Named("executor")
	g := &Group{
		Config:          c,
		transactions:    newTransactions(c.Instance + transactionSeparator + c.Group),
		runningUnits:    newRunningUnits(),
		primaryWait:     newPrimaryWait(),
		laggingReplicas: memberhealth.NewLaggingReplicas(),
		failingMembers:  memberhealth.NewFailingMembers(),
		positions:       memberhealth.NewPositions(c.Clock),
	}
	g.chooser = g.newChooser()
	return g
}

// Busy reports whether units are running or transactions are open.
func (g *Group) Busy() bool { return g.activeUnits.Load() > 0 || g.OpenTransactions() > 0 }

func (g *Group) finishUnit() { g.activeUnits.Add(-1) }

// OpenTransactions returns the number of open transactions.
func (g *Group) OpenTransactions() int { return g.transactions.count() }

// transactionSeparator separates the instance, the group and the unique part of a transaction ID.
const transactionSeparator = "/"
