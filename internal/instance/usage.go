package instance

import (
	"context"
	"fmt"

	"github.com/topazrock/topazrock/internal/usage"
)

// reportUsage logs what the instance uses, until ctx ends.
func (n *Instance) reportUsage(ctx context.Context) {
	usage.New(usage.Config{
		Instance: n.options.Settings.Instance.ID,
		Gatherer: n.options.Registry,
		Roles:    n.roles,
		Clock:    n.options.Clock,
		Log:      n.options.Logger,
	}).Run(ctx)
}

// roles returns what this instance does for others.
func (n *Instance) roles() []string {
	var roles []string
	if n.sharing.IsReader() {
		roles = append(roles, "reader")
	}
	if n.isDomainProber() {
		roles = append(roles, "domain_prober")
	}
	return append(roles, fmt.Sprintf("home of %d", len(n.homesCopy())))
}
