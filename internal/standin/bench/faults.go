package bench

import (
	"context"
	"time"

	standin "github.com/topazrock/topazrock/internal/standin/platform"
)

// gap is how long writes were impossible after one loss of a primary.
type gap struct {
	total time.Duration
	split map[string]time.Duration
}

// placeFaults places the configured fault, as often as configured.
func (b *bench) placeFaults(ctx context.Context) error {
	switch b.config.Fault {
	case FaultPrimaryKill, FaultPrimaryCut:
		return b.losePrimaries(ctx)
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
	now := time.Now()
	b.line.begin(now)
	b.ledger.markGap(faultGroup, now)
	undo := node.Restart
	if b.config.Fault == FaultPrimaryKill {
		b.say("The primary %s of %s is killed.", b.members[faultGroup][lost], b.profile.groupName(faultGroup))
		node.Kill()
	} else {
		b.say("The failure domain %s of the primary %s is cut off.", domain, b.members[faultGroup][lost])
		inside, outside := b.sides(domain)
		b.wan.cut(inside, outside)
		undo = func() error {
			b.wan.heal(inside, outside)
			return nil
		}
	}
	err := b.awaitWrites(ctx)
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

func (b *bench) awaitWrites(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, gapTimeout)
	defer cancel()
	select {
	case at := <-b.ledger.firstAck:
		b.line.endAt(stepLearn, at)
	case <-ctx.Done():
		return errNoWrites
	}
	split, total := b.line.durations()
	b.gaps = append(b.gaps, gap{total, split})
	b.say("Writes work again after %d ms, at the primary %s.", total.Milliseconds(), b.members[faultGroup][b.primary(faultGroup)])
	return nil
}
