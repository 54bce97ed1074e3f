package instance

import (
	"strconv"

	"github.com/topazrock/topazrock/internal/features"
	"github.com/topazrock/topazrock/internal/quota"
)

// newQuotaGuard returns the guard that enforces the limits of workspaces.
func (n *Instance) newQuotaGuard() *quota.Guard {
	o := n.options
	t := o.Settings.Quota
	g := quota.New(quota.Config{
		Process:    strconv.FormatUint(n.random("quota/process").Uint64(), 36),
		Fleet:      n.members,
		Workspaces: n.documents,
		Tolerance:  quota.Tolerance{Window: t.Window, Overage: t.Overage, Slack: float64(t.Slack)},
		Caller:     n.client,
		Clock:      o.Clock,
		Rand:       n.random("quota"),
		CutOff:     n.cutOff.Load,
		Ranked:     func() bool { return n.features.Enabled(features.UrgentTokens) },
		RankOf:     n.rankOf,
		Logger:     o.Logger,
		Metrics:    n.metrics.quota,
	})
	g.Register(n.peers)
	return g
}

// rankOf returns the rank of a class's operations: its priority in the group's document; zero if the
// class is not known.
func (n *Instance) rankOf(group, class string) quota.Rank {
	s, ok := n.documents.FindService(group)
	if !ok || class == "" {
		return 0
	}
	if c, ok := s.FindReadClass(class); ok {
		return quota.Rank(c.Priority)
	}
	c, _ := s.FindRequestClass(class)
	return quota.Rank(c.Priority)
}
