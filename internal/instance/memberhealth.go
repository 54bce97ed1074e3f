package instance

import (
	"context"
	"encoding/json"
	"time"

	"github.com/topazrock/topazrock/internal/document"
	"github.com/topazrock/topazrock/internal/features"
	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/memberhealth"
	"github.com/topazrock/topazrock/internal/platform"
)

const (
	// methodMemberHealth tells a home of the same failure domain that a member was ejected or
	// readmitted.
	methodMemberHealth = "group.member_health"
	// memberHealthTimeout bounds such a call. It is many times a slow answer inside a failure
	// domain; evidence that arrives later is of little use.
	memberHealthTimeout = 500 * time.Millisecond
)

// incarnationSource is implemented by Documents that know when members started.
type incarnationSource interface {
	// MemberStarted returns when the member of a group at an address started, in Unix milliseconds; zero
	// if it is not known.
	MemberStarted(group, address string) int64
}

// newMemberHealth builds the record of the health of a group's members.
func (n *Instance) newMemberHealth(g document.Group, w *group.Watcher) *memberhealth.Tracker {
	incarnation := func(string) int64 { return 0 }
	if d, ok := n.documents.(incarnationSource); ok {
		incarnation = func(address string) int64 { return d.MemberStarted(g.Name, address) }
	}
	return memberhealth.NewTracker(memberhealth.Config{
		Group:       g.Name,
		Process:     n.holder.Incarnation,
		Clock:       n.options.Clock,
		Logger:      n.options.Logger,
		Metrics:     n.metrics.memberHealth,
		Enabled:     func() bool { return n.features.Enabled(features.MemberHealth) },
		Incarnation: incarnation,
		Snapshot:    w.Snapshot,
		Notify:      n.notifyMemberHealth,
	})
}

// notifyMemberHealth tells the other homes of the failure domain about a member, without waiting for
// their answers. A lost message costs them statements of their own until they eject the member.
func (n *Instance) notifyMemberHealth(e memberhealth.Evidence) {
	for _, home := range n.nearbyHomes(e.Group) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), memberHealthTimeout)
			defer cancel()
			if err := n.client.Call(ctx, home.PeerAddress, methodMemberHealth, e, nil); err != nil {
				n.options.Logger.Debug("Sending evidence about a member failed.", "group", e.Group, "home", home.ID, "error", err)
			}
		}()
	}
}

// memberHealthOf returns the health of a member for operators; empty if it is not derived here.
func (n *Instance) memberHealthOf(group, address string) string {
	h := n.home(group)
	if h == nil || !h.memberHealth.Enabled() {
		return ""
	}
	return string(h.memberHealth.State(address))
}

// nearbyHomes returns the other homes of a group in this instance's failure domain.
func (n *Instance) nearbyHomes(group string) []platform.Instance {
	self := n.self()
	var nearby []platform.Instance
	for _, home := range n.members.Homes(group) {
		if home.ID != self.ID && home.FailureDomain == self.FailureDomain {
			nearby = append(nearby, home)
		}
	}
	return nearby
}

// serveMemberHealth registers the handler for evidence of other homes. Evidence about a group that
// this instance is not home to is of no use here.
func (n *Instance) serveMemberHealth() {
	n.peers.Handle(methodMemberHealth, func(_ context.Context, _ string, params json.RawMessage) (any, error) {
		var e memberhealth.Evidence
		if err := json.Unmarshal(params, &e); err != nil {
			n.options.Logger.Warn("Evidence about a member could not be read.", "error", err)
			n.metrics.memberHealth.CountUnreadableEvidence()
			return nil, err
		}
		h := n.home(e.Group)
		if h == nil {
			return nil, nil
		}
		return nil, h.memberHealth.Receive(e)
	})
}
