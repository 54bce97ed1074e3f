package cli

import (
	"context"
	"text/tabwriter"

	"github.com/topazrock/topazrock/internal/adminapi"
	"github.com/topazrock/topazrock/internal/adminclient"
)

// timeLayout is how moments are printed.
const timeLayout = "2006-01-02 15:04:05 MST"

// listCommand lists the documents in force.
type listCommand struct{ root *root }

// Execute implements flags.Commander.
func (c *listCommand) Execute([]string) error {
	return c.root.call(func(ctx context.Context, client *adminclient.Client) error {
		list, err := client.List(ctx)
		if err != nil {
			return err
		}
		return c.root.print(list, func(w *tabwriter.Writer) {
			line(w, "SERVICE", "VERSION")
			for _, d := range list {
				line(w, d.Name, d.Version)
			}
		})
	})
}

// nameArgument is the name of a service on the command line.
type nameArgument struct {
	Name string `positional-arg-name:"SERVICE" description:"name of the service"`
}

// historyCommand lists the changes of a document.
type historyCommand struct {
	root *root
	Args nameArgument `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *historyCommand) Execute([]string) error {
	return c.root.call(func(ctx context.Context, client *adminclient.Client) error {
		changes, err := client.History(ctx, c.Args.Name)
		if err != nil {
			return err
		}
		return c.root.print(changes, func(w *tabwriter.Writer) {
			line(w, "VERSION", "WHEN", "BY")
			for _, change := range changes {
				line(w, change.Version, change.At.UTC().Format(timeLayout), change.By)
			}
		})
	})
}

// versionsCommand lists what version each instance has in force.
type versionsCommand struct {
	root *root
	Args nameArgument `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *versionsCommand) Execute([]string) error {
	return c.root.call(func(ctx context.Context, client *adminclient.Client) error {
		versions, err := client.InForce(ctx, c.Args.Name)
		if err != nil {
			return err
		}
		return c.root.print(versions, func(w *tabwriter.Writer) { writeVersions(w, versions) })
	})
}

// writeVersions prints one line for each instance.
func writeVersions(w *tabwriter.Writer, versions []adminapi.InstanceVersion) {
	line(w, "INSTANCE", "FAILURE DOMAIN", "VERSION", "NOTE")
	for _, v := range versions {
		note := v.Error
		if v.Leaving {
			note = "leaving " + note
		}
		line(w, v.Instance, v.FailureDomain, v.Version, note)
	}
}

// getCommand prints a document.
type getCommand struct {
	root *root
	Args nameArgument `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *getCommand) Execute([]string) error {
	return c.root.call(func(ctx context.Context, client *adminclient.Client) error {
		document, err := client.Get(ctx, c.Args.Name)
		if err != nil {
			return err
		}
		return c.root.print(document, func(w *tabwriter.Writer) {
			_, _ = w.Write([]byte(withVersionLine(document.Text, document.Version)))
		})
	})
}

// drainCommand begins the graceful shutdown of the instance.
type drainCommand struct{ root *root }

// Execute implements flags.Commander.
func (c *drainCommand) Execute([]string) error {
	return c.root.call(func(ctx context.Context, client *adminclient.Client) error {
		answer, err := client.Drain(ctx)
		if err != nil {
			return err
		}
		return c.root.print(answer, func(w *tabwriter.Writer) {
			line(w, "draining: no new callers are taken, requests in flight finish, then the process exits")
		})
	})
}
