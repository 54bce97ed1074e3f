package instance

import (
	"strconv"

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
		Logger:     o.Logger,
		Metrics:    n.metrics.quota,
	})
	g.Register(n.peers)
	return g
}
