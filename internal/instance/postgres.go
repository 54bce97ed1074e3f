package instance

import (
	"context"

	"github.com/topazrock/topazrock/internal/callers"
	"github.com/topazrock/topazrock/internal/frontend"
	"github.com/topazrock/topazrock/internal/member"
	"github.com/topazrock/topazrock/internal/member/pgcontrol"
	"github.com/topazrock/topazrock/internal/upstream"
	"github.com/topazrock/topazrock/internal/wire"
)

// postgres returns the Protocol for PostgreSQL callers and members.
func (n *Instance) postgres() Protocol {
	s := n.options.Settings
	control := pgcontrol.NewDialer(n.options.Network, pgcontrol.Options{User: s.Upstream.User, Password: s.Upstream.Password})
	return Protocol{
		Open:          n.openPostgres,
		ControlDialer: func(string) member.Dialer { return control },
		Callers:       n.postgresCallers,
	}
}

func (n *Instance) openPostgres(ctx context.Context, group, address, workspace string) (wire.Conn, error) {
	s := n.options.Settings.Upstream
	o := upstream.Opener{
		Dialer:          n.options.Network,
		Clock:           n.options.Clock,
		User:            s.User,
		Password:        s.Password,
		Database:        group,
		ApplicationName: applicationName(s.ApplicationName, workspace),
	}
	return o.Open(ctx, address)
}

// applicationName returns the application name that members see for a connection: the
// product's name, and the workspace if the connection is reserved for one.
func applicationName(product, workspace string) string {
	if workspace == "" {
		return product
	}
	return product + " " + workspace
}

func (n *Instance) postgresCallers(p CallerServerConfig) CallerServer {
	f := frontend.NewServer(frontend.Config{
		Instance:       n.options.Settings.Instance.ID,
		Directory:      n.documents,
		Executor:       p.Executor,
		CancelUnits:    p.CancelUnits,
		Clock:          p.Clock,
		Logger:         p.Logger,
		Metrics:        frontend.NewMetrics(p.Registry),
		MaxCallers:     p.MaxCallers,
		StartupTimeout: n.options.Settings.Caller.StartupTimeout,
		ForwardCancel:  n.forwardCancel,
		Departures:     callers.NewDepartures(p.Features, p.Clock, p.Logger.Named("frontend"), p.Registry),
	})
	n.registerCancel(f)
	return f
}
