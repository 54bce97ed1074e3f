package bench

import (
	"context"
	"time"

	"github.com/topazrock/topazrock/internal/failover"
	standin "github.com/topazrock/topazrock/internal/standin/platform"
)

// gap is the period without successful writes after the failure of a primary.
type gap struct {
	total time.Duration
	// phases holds the durations of the failover's phases, as measured by its claimer.
	phases failover.Timings
}

// injectFault injects the configured fault. A failed or paused primary is repeated
// as often as configured.
func (b *bench) injectFault(ctx context.Context) error {
	switch b.config.Fault {
	case FaultPrimaryKill, FaultPrimaryCut:
		return b.failPrimaries(ctx)
	case FaultPrimaryPause:
		return b.pausePrimary(ctx)
	case FaultPlatformDown:
		b.printProgress("The platform is down from now on.")
		b.store.SetFaults(standin.Faults{Outage: true})
	case FaultReplicaLag:
		b.printProgress("One replica of each group falls a minute behind from now on.")
		for g, nodes := range b.nodes {
			nodes[(b.primary(g)+1)%len(nodes)].SetReplicationLag(slowReplicaLag)
		}
	}
	return nil
}

func (b *bench) failPrimaries(ctx context.Context) error {
	prober := newProber(b, faultGroup)
	prober.openConnections(ctx)
	probing, stop := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		prober.run(probing)
	}()
	var err error
	for i := 0; i < max(1, b.config.Repeat) && err == nil && ctx.Err() == nil; i++ {
		last := i+1 >= b.config.Repeat
		err = b.failPrimary(ctx, last)
	}
	stop()
	<-ended
	prober.closeConnections()
	return err
}

// failPrimary kills the primary or cuts it off, and waits until writes succeed again.
// Unless this is the last repetition, it then restores the member and waits until all
// members follow one primary.
func (b *bench) failPrimary(ctx context.Context, last bool) error {
	primary := b.primary(faultGroup)
	node, domain := b.nodes[faultGroup][primary], b.domainOf[host(b.memberAddresses[faultGroup][primary])]
	b.discardFailovers()
	undo := node.Restart
	if b.config.Fault == FaultPrimaryKill {
		b.printProgress("The primary %s of %s is killed.", b.memberAddresses[faultGroup][primary], b.profile.groupName(faultGroup))
		node.Kill()
	} else {
		b.printProgress("The failure domain %s of the primary %s is cut off.", domain, b.memberAddresses[faultGroup][primary])
		inside, outside := b.splitHosts(domain)
		b.wan.links.Partition(inside, outside)
		undo = func() error {
			b.wan.links.HealPartition(inside, outside)
			return nil
		}
	}
	// A write that began before the fault was fully injected may still be confirmed
	// by messages in flight, so the gap begins here.
	lostAt := time.Now()
	b.history.beginGap(faultGroup, lostAt)
	err := b.awaitWrites(ctx, lostAt)
	if last || err != nil {
		return err
	}
	if err := undo(); err != nil {
		return err
	}
	err = b.awaitConvergence(ctx, faultGroup)
	sleep(ctx, faultInterval)
	return err
}

// pausePrimary repeatedly freezes the primary for less than the time after which it
// is suspected, and counts the terms that begin nevertheless.
func (b *bench) pausePrimary(ctx context.Context) error {
	before := b.primaryTerm(faultGroup)
	b.printProgress("The primary of %s is paused %d times for %v.", b.profile.groupName(faultGroup), b.config.Repeat, pauseDuration)
	for range b.config.Repeat {
		primaryHost := host(b.memberAddresses[faultGroup][b.primary(faultGroup)])
		b.wan.links.Freeze(primaryHost)
		sleep(ctx, pauseDuration)
		b.wan.links.Thaw(primaryHost)
		sleep(ctx, pauseInterval)
	}
	b.falsePromotions = b.primaryTerm(faultGroup) - before
	return nil
}

// splitHosts splits all hosts except the callers' into those inside a failure domain
// and those outside it.
func (b *bench) splitHosts(domain string) (inside, outside []string) {
	for _, d := range b.profile.domains {
		if d != domain {
			outside = append(outside, b.hostsIn(d)...)
		}
	}
	return b.hostsIn(domain), append(outside, platformHost)
}

func (b *bench) awaitWrites(ctx context.Context, lostAt time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, writesTimeout)
	defer cancel()
	g := gap{}
	select {
	case ackedAt := <-b.history.firstAckAt:
		g.total = ackedAt.Sub(lostAt)
	case <-ctx.Done():
		return errWritesNotRestored
	}
	b.printProgress("Writes work again after %d ms, at the primary %s.", g.total.Milliseconds(), b.memberAddresses[faultGroup][b.primary(faultGroup)])
	for g.phases.Group != b.profile.groupName(faultGroup) {
		select {
		case g.phases = <-b.failovers:
		case <-ctx.Done():
			return errFailoverNotReported
		}
	}
	b.gaps = append(b.gaps, g)
	return nil
}

// discardFailovers discards the reports of earlier failovers.
func (b *bench) discardFailovers() {
	for len(b.failovers) > 0 {
		<-b.failovers
	}
}
