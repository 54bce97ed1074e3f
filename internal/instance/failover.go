package instance

import (
	"github.com/topazrock/topazrock/internal/document"
	"github.com/topazrock/topazrock/internal/failover"
	"github.com/topazrock/topazrock/internal/features"
	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/memberhealth"
	"github.com/topazrock/topazrock/internal/platform"
)

// newClaimer builds the component that claims terms of a group and fails it over.
func (n *Instance) newClaimer(g document.Group, w *group.Watcher, work memberhealth.WorkView) *failover.Claimer {
	instances := func() []platform.Instance { return n.members.Homes(g.Name) }
	return failover.New(failover.Config{
		Group:              g.Name,
		Self:               n.self(),
		Instances:          instances,
		View:               w,
		Platform:           n.options.Platform,
		Dialer:             n.protocol.ControlDialer(g.Name),
		Settings:           n.protocol.Failover,
		MembersAssignTerms: n.protocol.MembersAssignTerms,
		Witness:            failover.NewPeerWitness(n.client, n.self(), instances, n.random("witness/"+g.Name)),
		Clock:              n.options.Clock,
		Rand:               n.random("failover/" + g.Name),
		Logger:             n.options.Logger,
		Metrics:            n.metrics.failover,
		Work:               work,
		ReplaceFailing:     n.replacesFailing,
		OnFailover:         n.options.OnFailover,
		OnStep:             n.options.FailoverHook,
	})
}

// replacesFailing reports whether primaries that fail their statements are replaced.
func (n *Instance) replacesFailing() bool { return n.features.Enabled(features.FailingPrimary) }

// serveWitness registers the handler for peers that ask whether this instance sees a
// primary.
func (n *Instance) serveWitness() {
	detect := failover.DefaultSettings().DetectionTime
	failover.RegisterWitnessHandler(n.peers, n.options.Clock, detect, func(name string) (failover.View, bool) {
		h := n.home(name)
		if h == nil {
			return nil, false
		}
		return h.watcher, true
	}, n.workOf)
}

// workOf returns the work of a group's members as this instance sees it; nil if it is not followed.
func (n *Instance) workOf(name string) memberhealth.WorkView {
	h := n.home(name)
	if h == nil || !n.replacesFailing() {
		return nil
	}
	return h.claimer.Work
}
