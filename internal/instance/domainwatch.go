package instance

import (
	"context"
	"encoding/json"
	"time"

	"github.com/topazrock/topazrock/internal/objectwatch"
	"github.com/topazrock/topazrock/internal/platform"
)

const (
	// methodProbeDomain checks that an instance in another failure domain answers.
	// methodCheckReach makes an instance of the same failure domain check at once which
	// members it reaches.
	methodProbeDomain = "instance.far"
	methodCheckReach  = "instance.look"
	// domainProbeDuty is the key for picking the instances that probe other failure
	// domains. probersPerDomain is how many are picked in each failure domain: two, because
	// one of them may have failed and still be listed.
	domainProbeDuty  = "instance.far"
	probersPerDomain = 2
	// domainProbeInterval is the time between two probes of a failure domain.
	// domainProbeTimeout bounds an answer; it is many times the response time of an
	// instance that is short of CPU time.
	domainProbeInterval = 80 * time.Millisecond
	// proberCheckInterval is the time after which an instance without that duty checks whether it
	// has it now.
	proberCheckInterval = 500 * time.Millisecond
	domainProbeTimeout  = time.Second
	// checkReachTimeout bounds the call that requests a reachability check.
	checkReachTimeout = 200 * time.Millisecond
	// minReachCheckInterval is the minimum time between two requested checks. Each check
	// probes every member of the groups that an instance is home to.
	minReachCheckInterval = time.Second
)

// serveDomainProbes registers the handlers for watchOtherDomains of other instances.
func (n *Instance) serveDomainProbes() {
	n.peers.Handle(methodProbeDomain, func(context.Context, string, json.RawMessage) (any, error) { return struct{}{}, nil })
	n.peers.Handle(methodCheckReach, func(context.Context, string, json.RawMessage) (any, error) {
		n.checkReachNow()
		return struct{}{}, nil
	})
}

// watchOtherDomains probes the other failure domains while this instance has that duty.
// When none of them answers, it requests a reachability check from all instances of its own
// failure domain. It returns when ctx ends.
func (n *Instance) watchOtherDomains(ctx context.Context) {
	detector := newIsolationDetector()
	answers := make(chan string)
	ticker := n.options.Clock.NewTimer(domainProbeInterval)
	defer ticker.Stop()
	for round := 0; ; {
		select {
		case <-ctx.Done():
			return
		case domain := <-answers:
			detector.recordAnswer(domain, n.options.Clock.Now())
		case <-ticker.C:
			if !n.isDomainProber() {
				detector = newIsolationDetector()
				ticker.Reset(proberCheckInterval)
				continue
			}
			ticker.Reset(domainProbeInterval)
			round++
			n.probeOtherDomains(ctx, round, answers)
			if detector.detectIsolation(n.options.Clock.Now()) {
				n.options.Logger.Warn("No other failure domain answers.")
				n.requestReachChecks(ctx)
			}
		}
	}
}

// isDomainProber reports whether this instance has the duty to probe other failure domains.
func (n *Instance) isDomainProber() bool {
	_, self := objectwatch.SelectLocal(n.members, domainProbeDuty, probersPerDomain)
	return self
}

// probeOtherDomains starts a probe of one instance of each other failure domain, a
// different one each round. The name of each failure domain that answers is sent to the
// channel answers.
func (n *Instance) probeOtherDomains(ctx context.Context, round int, answers chan<- string) {
	byDomain := make(map[string][]platform.Instance)
	for _, i := range n.members.PickCapable(domainProbeDuty, probersPerDomain) {
		if i.FailureDomain != n.self().FailureDomain {
			byDomain[i.FailureDomain] = append(byDomain[i.FailureDomain], i)
		}
	}
	for domain, all := range byDomain {
		n.running.Go(func() {
			bounded, cancel := context.WithTimeout(ctx, domainProbeTimeout)
			defer cancel()
			if n.client.Call(bounded, all[round%len(all)].PeerAddress, methodProbeDomain, struct{}{}, nil) != nil {
				return
			}
			select {
			case answers <- domain:
			case <-ctx.Done():
			}
		})
	}
}

// requestReachChecks makes all instances of this failure domain check which members they
// reach. Each decides by its own check, so that if only this instance is cut off, the
// others are not affected.
func (n *Instance) requestReachChecks(ctx context.Context) {
	n.checkReachNow()
	for _, i := range n.members.Peers() {
		if i.FailureDomain != n.self().FailureDomain {
			continue
		}
		n.running.Go(func() {
			bounded, cancel := context.WithTimeout(ctx, checkReachTimeout)
			defer cancel()
			if err := n.client.Call(bounded, i.PeerAddress, methodCheckReach, struct{}{}, nil); err != nil {
				n.options.Logger.Debug("Requesting a reachability check failed.", "instance", i.ID, "error", err)
			}
		})
	}
}

// checkReachNow probes all members that this instance follows, then wakes watchReach and
// pollPeerReach. It does nothing if the last call was less than minReachCheckInterval ago.
func (n *Instance) checkReachNow() {
	now := n.options.Clock.Now()
	last := n.reachCheckedAt.Load()
	if last != nil && now.Sub(*last) < minReachCheckInterval || !n.reachCheckedAt.CompareAndSwap(last, &now) {
		return
	}
	for _, h := range n.homesCopy() {
		for _, m := range h.watcher.Snapshot().Members {
			// ReportFailure makes the watcher open a new connection, because only silence
			// on a new connection proves that the member is not reached.
			h.watcher.ReportFailure(m.Address)
		}
	}
	for _, ch := range []chan struct{}{n.wakeReach, n.wakePeerReach} {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}
