package bench

import (
	"context"
	"time"

	"github.com/topazrock/topazrock/internal/failover"
	standin "github.com/topazrock/topazrock/internal/standin/platform"
)

// gap is how long writes were impossible after one loss of a primary.
type gap struct {
	total time.Duration
	// claimer is how its claimer saw the failover, phase by phase.
	claimer failover.Gap
}

// placeFaults places the configured fault, as often as configured.
func (b *bench) placeFaults(ctx context.Context) error {
	switch b.config.Fault {
	case FaultPrimaryKill, FaultPrimaryCut:
		return b.losePrimaries(ctx)
	case FaultPrimaryPause:
		return b.pausePrimaries(ctx)
	case FaultPlatformDown:
		b.say("The platform is down from now on.")
		b.store.SetFaults(standin.Faults{Outage: true})
	case FaultReplicaLag:
		b.say("One replica of each group falls a minute behind from now on.")
		for g, nodes := range b.nodes {
			nodes[(b.primary(g)+1)%len(nodes)].SetReplicationLag(farBehind)
		}
	}
	return nil
}

func (b *bench) losePrimaries(ctx context.Context) error {
	prober := newProber(b, faultGroup)
	prober.warm(ctx)
	probing, stop := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		prober.run(probing)
	}()
	var err error
	for i := 0; i < max(1, b.config.Repeat) && err == nil && ctx.Err() == nil; i++ {
		last := i+1 >= b.config.Repeat
		err = b.losePrimary(ctx, last)
	}
	stop()
	<-ended
	prober.close()
	return err
}

// losePrimary loses the primary once and waits until writes work again. Unless
// it is the last time, the member comes back and the group becomes whole.
func (b *bench) losePrimary(ctx context.Context, last bool) error {
	lost := b.primary(faultGroup)
	node, domain := b.nodes[faultGroup][lost], b.domains[host(b.members[faultGroup][lost])]
	b.forgetFailovers()
	undo := node.Restart
	if b.config.Fault == FaultPrimaryKill {
		b.say("The primary %s of %s is killed.", b.members[faultGroup][lost], b.profile.groupName(faultGroup))
		node.Kill()
	} else {
		b.say("The failure domain %s of the primary %s is cut off.", domain, b.members[faultGroup][lost])
		inside, outside := b.sides(domain)
		b.wan.faults.Partition(inside, outside)
		undo = func() error {
			b.wan.faults.Join(inside, outside)
			return nil
		}
	}
	// A write that began before the fault was whole may still be confirmed by
	// what was on its way, so the gap begins here.
	now := time.Now()
	b.ledger.markGap(faultGroup, now)
	err := b.awaitWrites(ctx, now)
	if last || err != nil {
		return err
	}
	if err := undo(); err != nil {
		return err
	}
	err = b.awaitWhole(ctx, faultGroup)
	pause(ctx, betweenFaults)
	return err
}

// pausePrimaries freezes a primary again and again for less than it takes to
// suspect it, and counts the terms that begin all the same.
func (b *bench) pausePrimaries(ctx context.Context) error {
	before := b.term(faultGroup)
	b.say("The primary of %s is paused %d times for %v.", b.profile.groupName(faultGroup), b.config.Repeat, longPause)
	for range b.config.Repeat {
		lost := host(b.members[faultGroup][b.primary(faultGroup)])
		b.wan.faults.Freeze(lost)
		pause(ctx, longPause)
		b.wan.faults.Thaw(lost)
		pause(ctx, betweenPauses)
	}
	b.falsePromotions = b.term(faultGroup) - before
	return nil
}

// sides splits all hosts but the callers' into those of a failure domain and
// the others.
func (b *bench) sides(domain string) (inside, outside []string) {
	for _, d := range b.profile.domains {
		if d != domain {
			outside = append(outside, b.hosts(d)...)
		}
	}
	return b.hosts(domain), append(outside, platformHost)
}

func (b *bench) awaitWrites(ctx context.Context, lost time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, gapTimeout)
	defer cancel()
	g := gap{}
	select {
	case at := <-b.ledger.firstAck:
		g.total = at.Sub(lost)
	case <-ctx.Done():
		return errNoWrites
	}
	b.say("Writes work again after %d ms, at the primary %s.", g.total.Milliseconds(), b.members[faultGroup][b.primary(faultGroup)])
	for g.claimer.Group != b.profile.groupName(faultGroup) {
		select {
		case g.claimer = <-b.failovers:
		case <-ctx.Done():
			return errNoFailover
		}
	}
	b.gaps = append(b.gaps, g)
	return nil
}

// forgetFailovers drops what was told of failovers before.
func (b *bench) forgetFailovers() {
	for len(b.failovers) > 0 {
		<-b.failovers
	}
}
