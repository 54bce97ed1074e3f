package instance

import (
	"context"
	"sync"

	"github.com/topazrock/topazrock/internal/admission"
	"github.com/topazrock/topazrock/internal/document"
	"github.com/topazrock/topazrock/internal/executor"
	"github.com/topazrock/topazrock/internal/failover"
	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/pool"
	"github.com/topazrock/topazrock/internal/retry"
	"github.com/topazrock/topazrock/internal/upstream"
)

// home is what the instance runs for one group that it is home to.
type home struct {
	group    document.Group
	watcher  *group.Watcher
	pool     *pool.Limited
	gate     *admission.Controller
	claimer  *failover.Claimer
	executor *executor.Group
	cancel   context.CancelFunc
	running  sync.WaitGroup
}

// newHome builds the parts of a home without starting them.
func (n *Instance) newHome(g document.Group) *home {
	h := &home{group: g}
	h.watcher = group.NewWatcher(group.Config{
		Group:   g.Name,
		Members: g.Members,
		Clock:   n.options.Clock,
		Rand:    n.random("watcher/" + g.Name),
		Dialer:  n.control,
		Logger:  n.options.Logger,
		Metrics: n.metrics.group,
	})
	h.claimer = n.newClaimer(g, h.watcher)
	h.pool = pool.New(pool.Config{
		Group:   g.Name,
		Clock:   n.options.Clock,
		Rand:    n.random("pool/" + g.Name),
		Open:    n.opener(g.Name).Open,
		Probe:   upstream.Probe,
		Check:   upstream.Check,
		Close:   upstream.Shutdown,
		Logger:  n.options.Logger,
		Metrics: n.metrics.pool,
	})
	h.gate = admission.New(admission.Config{
		Group:   g.Name,
		Clock:   n.options.Clock,
		Rand:    n.random("admission/" + g.Name),
		Logger:  n.options.Logger,
		Metrics: n.metrics.admission,
	})
	h.executor = executor.NewGroup(executor.Config{
		Group:         g.Name,
		Instance:      n.options.Settings.Instance.ID,
		FailureDomain: n.options.Settings.Instance.FailureDomain,
		Service:       func() *document.Service { return n.service(g.Name) },
		Tracker:       h.watcher,
		Pool:          h.pool,
		Gate:          h.gate,
		Budget: retry.New(retry.Config{
			Group:   g.Name,
			Clock:   n.options.Clock,
			Rand:    n.random("retry/" + g.Name),
			Metrics: n.metrics.retry,
		}),
		Clock:   n.options.Clock,
		Random:  n.random("routing/" + g.Name),
		Dialer:  n.options.Network,
		Logger:  n.options.Logger,
		Metrics: n.metrics.executor,
	})
	return h
}

func (n *Instance) opener(groupName string) *upstream.Opener {
	s := n.options.Settings.Upstream
	return &upstream.Opener{
		Dialer:          n.options.Network,
		Clock:           n.options.Clock,
		User:            s.User,
		Password:        s.Password,
		Database:        groupName,
		ApplicationName: s.ApplicationName,
	}
}

// start runs the home's parts until stop.
func (h *home) start(ctx context.Context) {
	ctx, h.cancel = context.WithCancel(ctx)
	h.run(func() { h.watcher.Run(ctx) })
	h.run(func() { h.claimer.Run(ctx) })
	h.run(func() { h.executor.Run(ctx) })
}

func (h *home) run(f func()) { h.running.Go(f) }

// stop ends the parts and closes every connection to members.
func (h *home) stop(ctx context.Context) {
	_ = h.pool.Close(ctx)
	h.cancel()
	h.running.Wait()
}
