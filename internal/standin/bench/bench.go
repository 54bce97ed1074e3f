// Package bench runs PostgreSQL clients whose sessions move between the entry
// instances, injects faults, and compares the responses that the callers received
// with the final data of each group.
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

// Fault names the fault that is injected halfway through a run.
type Fault string

// Faults that a run can inject.
const (
	FaultNone         Fault = "none"
	FaultPrimaryKill  Fault = "primary-kill"
	FaultPrimaryCut   Fault = "primary-cut"
	FaultPrimaryPause Fault = "primary-pause"
	FaultPlatformDown Fault = "platform-down"
	FaultReplicaLag   Fault = "replica-lag"
)

// DefaultStatementCost is the default time that a member takes to execute a statement.
const DefaultStatementCost = 500 * time.Microsecond

const (
	// slowReplicaLag is the lag that FaultReplicaLag gives to one replica of each group.
	slowReplicaLag = time.Minute
	// warmUp is how long the fleet runs before the load starts.
	warmUp = time.Second
	// pauseDuration is how long a primary is paused: half of the time after which an
	// unresponsive primary is suspected.
	pauseDuration = 75 * time.Millisecond
	// pauseInterval is the time between two pauses, enough for probes to succeed again.
	pauseInterval = 300 * time.Millisecond
	// faultInterval is the time between the recovery of a group and the next fault.
	faultInterval = time.Second
	// writesTimeout limits the wait for writes to succeed again after a fault.
	writesTimeout = 20 * time.Second
	// faultGroup is the index of the group whose primary is killed, cut off or paused.
	faultGroup = 0
)

// Config configures one run.
type Config struct {
	Profile  string
	Duration time.Duration
	Seed     uint64
	Fault    Fault
	// Baseline is the simpler design to measure instead; empty for none.
	Baseline Baseline
	// Fleets is the number of fleets that are run in sequence, with consecutive
	// seeds. Zero means one.
	Fleets int
	// Repeat is the number of times that the primary is failed or paused, in sequence.
	Repeat int
	// Sessions is the number of callers, and ThinkTime their mean pause between requests.
	Sessions  int
	ThinkTime time.Duration
	// ReplicationLag is the replication lag of every replica.
	ReplicationLag time.Duration
	// StatementCost is the time that a member takes to execute a statement.
	StatementCost time.Duration
	// Instances is the number of entry instances; zero means the profile's number.
	Instances int
	// Progress receives progress messages, and Logs the logs of the instances.
	Progress, Logs io.Writer
	// small limits the fleet to one group and one instance per failure domain.
	small bool
}

// ErrBadConfig reports an unknown profile, fault or baseline.
var ErrBadConfig = errors.New("unknown profile, fault or baseline")

// bench is the state of one run.
type bench struct {
	*fleet
	config       Config
	history      *history
	recentWrites *recentWrites
	gaps         []gap
	// countersBefore holds the counters at the start of the load.
	countersBefore counters
	// falsePromotions counts the terms that began although no primary had failed.
	falsePromotions int
}

// Run runs the configured number of fleets and returns their combined report.
func Run(ctx context.Context, c Config) (*Report, error) {
	sum, err := runFleet(ctx, c)
	for i := 1; i < c.Fleets && err == nil; i++ {
		c.Seed++
		var r *Report
		if r, err = runFleet(ctx, c); r != nil {
			sum.addFleet(r)
		}
	}
	return sum, err
}

// runFleet runs a single fleet and returns its report.
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
	b := &bench{fleet: f, config: c, history: newHistory(), recentWrites: &recentWrites{byGroup: map[int][]writeRecord{}}}
	return b.run(ctx)
}

func (b *bench) run(ctx context.Context) (*Report, error) {
	b.printProgress("Started the platform, %d groups of %d members and %d instances in %d failure domains (seed %d).",
		b.profile.groups, len(b.profile.domains), b.profile.instances, len(b.profile.domains), b.config.Seed)
	sleep(ctx, warmUp)
	b.printProgress("%d callers begin; they roam between the instances.", b.config.Sessions)
	began := time.Now()
	b.countersBefore = b.readCounters()
	load, stop := context.WithCancel(ctx)
	defer stop()
	var callers sync.WaitGroup
	for i := range b.config.Sessions {
		s := b.newSession(i)
		callers.Go(func() { s.run(load, b.config.ThinkTime) })
	}
	sleep(ctx, b.config.Duration/2)
	err := b.injectFault(ctx)
	sleep(ctx, b.config.Duration/2)
	stop()
	callers.Wait()
	elapsed := time.Since(began)
	b.printProgress("The callers have ended; now every acknowledged write is looked for.")
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return b.newReport(elapsed), err
}

func (b *bench) newSession(i int) *session {
	return &session{
		bench: b,
		rng:   rand.New(rand.NewPCG(b.config.Seed, uint64(i))),
		id:    fmt.Sprintf("caller-%d", i),
		group: i % b.profile.groups,
	}
}

// dial opens a caller's connection to an entry instance.
func (b *bench) dial(ctx context.Context, instance, group int, token string) (*pgx.Conn, error) {
	c, err := pgx.ParseConfig(fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable",
		b.profile.user, password, b.entryAddresses[instance], b.profile.groupName(group)))
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

func (b *bench) printProgress(format string, args ...any) {
	fmt.Fprintf(b.config.Progress, format+"\n", args...)
}
