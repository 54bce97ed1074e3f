package instance

import (
	"context"
	"encoding/json"
	"time"

	"github.com/topazrock/topazrock/internal/objectwatch"
	"github.com/topazrock/topazrock/internal/platform"
)

const (
	// methodFar asks an instance of another failure domain whether it is there, and
	// methodLook an instance of the own one to look at once what it reaches.
	methodFar  = "instance.far"
	methodLook = "instance.look"
	// farDuty is the key by which the instances are picked that ask other failure domains,
	// and farPerDomain how many of each do: two, because one of them may be dead and listed.
	farDuty      = "instance.far"
	farPerDomain = 2
	// farInterval is the time between two questions to a failure domain, and farTimeout
	// bounds an answer: many times that of an instance that is short of processor time.
	farInterval = 80 * time.Millisecond
	farTimeout  = time.Second
	// lookTimeout bounds the call that asks an instance to look.
	lookTimeout = 200 * time.Millisecond
	// lookPause is the least time between two such looks. Each costs a question to every
	// member of the groups that an instance is home to.
	lookPause = time.Second
)

// serveFar answers the questions of farWatch.
func (n *Instance) serveFar() {
	n.peers.Handle(methodFar, func(context.Context, string, json.RawMessage) (any, error) { return struct{}{}, nil })
	n.peers.Handle(methodLook, func(context.Context, string, json.RawMessage) (any, error) {
		n.lookNow()
		return struct{}{}, nil
	})
}

// farWatch asks other failure domains whether they are there, as long as this instance has
// the duty, and has all instances of its own look when all others are silent, until ctx ends.
func (n *Instance) farWatch(ctx context.Context) {
	silence := newIsolation()
	answers := make(chan string)
	ticker := n.options.Clock.NewTimer(farInterval)
	defer ticker.Stop()
	for round := 0; ; {
		select {
		case <-ctx.Done():
			return
		case domain := <-answers:
			silence.note(domain, n.options.Clock.Now())
		case <-ticker.C:
			ticker.Reset(farInterval)
			round++
			if !n.asksFar() {
				silence = newIsolation()
				continue
			}
			n.askFar(ctx, round, answers)
			if silence.begins(n.options.Clock.Now()) {
				n.options.Logger.Warn("No other failure domain answers.")
				n.tellNear(ctx)
			}
		}
	}
}

// asksFar reports whether this instance has the duty.
func (n *Instance) asksFar() bool {
	_, self := objectwatch.OnDuty(n.members, farDuty, farPerDomain)
	return self
}

// askFar asks one instance of each other failure domain, another one each round, and passes
// on the failure domains that answer.
func (n *Instance) askFar(ctx context.Context, round int, answers chan<- string) {
	byDomain := make(map[string][]platform.Instance)
	for _, i := range n.members.Pick(farDuty, farPerDomain) {
		if i.FailureDomain != n.self().FailureDomain {
			byDomain[i.FailureDomain] = append(byDomain[i.FailureDomain], i)
		}
	}
	for domain, all := range byDomain {
		n.running.Go(func() {
			bounded, cancel := context.WithTimeout(ctx, farTimeout)
			defer cancel()
			if n.client.Call(bounded, all[round%len(all)].PeerAddress, methodFar, struct{}{}, nil) != nil {
				return
			}
			select {
			case answers <- domain:
			case <-ctx.Done():
			}
		})
	}
}

// tellNear has all instances of the own failure domain look what they reach. Each decides by
// what it sees itself, so that one that is cut off alone takes nobody along.
func (n *Instance) tellNear(ctx context.Context) {
	n.lookNow()
	for _, i := range n.members.Peers() {
		if i.FailureDomain != n.self().FailureDomain {
			continue
		}
		n.running.Go(func() {
			bounded, cancel := context.WithTimeout(ctx, lookTimeout)
			defer cancel()
			if err := n.client.Call(bounded, i.PeerAddress, methodLook, struct{}{}, nil); err != nil {
				n.options.Logger.Debug("Instance was not told to look what it reaches.", "instance", i.ID, "error", err)
			}
		})
	}
}

// lookNow has all members asked at once that this instance follows, and then the homes
// that it asks what they reach.
func (n *Instance) lookNow() {
	now := n.options.Clock.Now()
	last := n.lookedAt.Load()
	if last != nil && now.Sub(*last) < lookPause || !n.lookedAt.CompareAndSwap(last, &now) {
		return
	}
	for _, h := range n.homesCopy() {
		for _, m := range h.watcher.Snapshot().Members {
			// An open connection that is silent proves nothing; a new one that is does.
			h.watcher.ReportFailure(m.Address)
		}
	}
	for _, wake := range []chan struct{}{n.lookReach, n.lookPeers} {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
}
