// Package bench drives real PostgreSQL clients whose sessions roam between the
// entry instances, places faults, and checks what the callers were told against
// what the group holds at the end.
package bench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
)

// Fault names what happens half way through a run.
type Fault string

// Faults that a run can place.
const (
	FaultNone         Fault = "none"
	FaultPrimaryKill  Fault = "primary-kill"
	FaultPrimaryCut   Fault = "primary-cut"
	FaultPrimaryPause Fault = "primary-pause"
	FaultPlatformDown Fault = "platform-down"
	FaultReplicaLag   Fault = "replica-lag"
)

// DefaultCost is how long a member works on a statement unless told otherwise.
const DefaultCost = 500 * time.Microsecond

const (
	// farBehind is the lag of the one slow replica of FaultReplicaLag.
	farBehind = time.Minute
	// warmUp is how long the fleet runs before the load begins.
	warmUp = time.Second
	// longPause is half of the time after which a primary is suspected.
	longPause = 75 * time.Millisecond
	// betweenPauses lets the probes succeed again.
	betweenPauses = 300 * time.Millisecond
	// betweenFaults is how long a whole group rests before the next fault.
	betweenFaults = time.Second
	// gapTimeout bounds the wait for writes to work again.
	gapTimeout = 20 * time.Second
	// faultGroup is the group whose primary is lost.
	faultGroup = 0
)

// Config sets up one run.
type Config struct {
	Profile  string
	Duration time.Duration
	Seed     uint64
	Fault    Fault
	// Baseline is the other design that is measured, if any.
	Baseline Baseline
	// Fleets is how many fleets are run one after the other, with seeds that
	// follow each other; zero is one.
	Fleets int
	// Repeat is how often the primary is lost or paused, one after the other.
	Repeat int
	// Sessions is the number of callers, and Think their mean pause.
	Sessions int
	Think    time.Duration
	// Lag is the replication lag of every replica.
	Lag time.Duration
	// Cost is how long a member works on a statement.
	Cost time.Duration
	// Instances is how many entry instances run; zero for those of today.
	Instances int
	// Say takes what happens in plain words; Logs the instances' logs.
	Say, Logs io.Writer
	// small is the demo's size: one group and an instance in each domain.
	small bool
}

// ErrBadConfig says that a profile, fault or baseline is not known.
var ErrBadConfig = errors.New("unknown profile, fault or baseline")

// bench is one run.
type bench struct {
	*fleet
	config Config
	ledger *ledger
	others *recent
	gaps   []gap
	// before holds the counters at the moment when the load began.
	before counters
	// falsePromotions counts terms that began although no primary was lost.
	falsePromotions int
}

// Run runs the bench and returns its report.
func Run(ctx context.Context, c Config) (*Report, error) {
	sum, err := runFleet(ctx, c)
	for i := 1; i < c.Fleets && err == nil; i++ {
		c.Seed++
		var r *Report
		if r, err = runFleet(ctx, c); r != nil {
			sum.add(r)
		}
	}
	return sum, err
}

// runFleet runs one fleet and returns its report.
func runFleet(ctx context.Context, c Config) (*Report, error) {
	p, ok := profiles[c.Profile]
	switch c.Fault {
	case FaultNone, FaultPrimaryKill, FaultPrimaryCut, FaultPrimaryPause, FaultPlatformDown, FaultReplicaLag:
	default:
		ok = false
	}
	wrap, known := baselines[c.Baseline]
	if !ok || !known {
		return nil, fmt.Errorf("%w: %q, %q, %q", ErrBadConfig, c.Profile, c.Fault, c.Baseline)
	}
	if c.Instances > 0 {
		p.instances = c.Instances
	}
	if c.small {
		p.groups, p.instances = 1, len(p.domains)
	}
	f, err := startFleet(p, c, wrap)
	defer f.close()
	if err != nil {
		return nil, err
	}
	b := &bench{fleet: f, config: c, ledger: newLedger(), others: &recent{groups: map[int][]entry{}}}
	return b.run(ctx)
}

func (b *bench) run(ctx context.Context) (*Report, error) {
	b.say("Started the platform, %d groups of %d members and %d instances in %d failure domains (seed %d).",
		b.profile.groups, len(b.profile.domains), b.profile.instances, len(b.profile.domains), b.config.Seed)
	pause(ctx, warmUp)
	b.say("%d callers begin; they roam between the instances.", b.config.Sessions)
	began := time.Now()
	b.before = b.count()
	load, stop := context.WithCancel(ctx)
	defer stop()
	var callers sync.WaitGroup
	for i := range b.config.Sessions {
		s := b.session(i)
		callers.Go(func() { s.run(load, b.config.Think) })
	}
	pause(ctx, b.config.Duration/2)
	err := b.placeFaults(ctx)
	pause(ctx, b.config.Duration/2)
	stop()
	callers.Wait()
	took := time.Since(began)
	b.say("The callers have ended; now every acknowledged write is looked for.")
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return b.report(took), err
}

func (b *bench) session(i int) *session {
	return &session{
		bench: b,
		rng:   rand.New(rand.NewPCG(b.config.Seed, uint64(i))),
		id:    fmt.Sprintf("caller-%d", i),
		group: i % b.profile.groups,
	}
}

// dial opens a caller's connection to an entry instance.
func (b *bench) dial(ctx context.Context, entry, group int, token string) (*pgx.Conn, error) {
	c, err := pgx.ParseConfig(fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable",
		b.profile.user, password, b.entries[entry], b.profile.groupName(group)))
	if err != nil {
		return nil, err
	}
	network := b.network(callerHost)
	c.DialFunc = func(ctx context.Context, _, address string) (net.Conn, error) { return network.Dial(ctx, address) }
	c.LookupFunc = func(_ context.Context, host string) ([]string, error) { return []string{host}, nil }
	if token != "" {
		c.RuntimeParams[tokenParameter] = token
	}
	return pgx.ConnectConfig(ctx, c)
}

func (b *bench) say(format string, args ...any) { fmt.Fprintf(b.config.Say, format+"\n", args...) }
