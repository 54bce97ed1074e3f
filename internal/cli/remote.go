package cli

import (
	"context"
	"text/tabwriter"

	"github.com/topazrock/topazrock/internal/adminapi"
	"github.com/topazrock/topazrock/internal/adminclient"
)

// timeLayout is the layout for printed timestamps.
const timeLayout = "2006-01-02 15:04:05 MST"

// listCommand lists the documents in force.
type listCommand struct{ app *app }

// Execute implements flags.Commander.
func (c *listCommand) Execute([]string) error {
	return c.app.callAPI(func(ctx context.Context, client *adminclient.Client) error {
		list, err := client.List(ctx)
		if err != nil {
			return err
		}
		return c.app.printData(list, func(w *tabwriter.Writer) {
			writeRow(w, "SERVICE", "VERSION")
			for _, d := range list {
				writeRow(w, d.Name, d.Version)
			}
		})
	})
}

// nameArgument is the command-line argument for the name of a service.
type nameArgument struct {
	Name string `positional-arg-name:"SERVICE" description:"name of the service"`
}

// historyCommand lists the changes of a document.
type historyCommand struct {
	app  *app
	Args nameArgument `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *historyCommand) Execute([]string) error {
	return c.app.callAPI(func(ctx context.Context, client *adminclient.Client) error {
		changes, err := client.History(ctx, c.Args.Name)
		if err != nil {
			return err
		}
		return c.app.printData(changes, func(w *tabwriter.Writer) {
			writeRow(w, "VERSION", "WHEN", "BY")
			for _, change := range changes {
				writeRow(w, change.Version, change.At.UTC().Format(timeLayout), change.By)
			}
		})
	})
}

// versionsCommand lists the version that each instance has in force.
type versionsCommand struct {
	app  *app
	Args nameArgument `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *versionsCommand) Execute([]string) error {
	return c.app.callAPI(func(ctx context.Context, client *adminclient.Client) error {
		versions, err := client.VersionsInForce(ctx, c.Args.Name)
		if err != nil {
			return err
		}
		return c.app.printData(versions, func(w *tabwriter.Writer) { writeVersions(w, versions) })
	})
}

// writeVersions writes a table with one row for each instance.
func writeVersions(w *tabwriter.Writer, versions []adminapi.InstanceVersion) {
	writeRow(w, "INSTANCE", "FAILURE DOMAIN", "VERSION", "NOTE")
	for _, v := range versions {
		note := v.Error
		if v.Leaving {
			note = "leaving " + note
		}
		writeRow(w, v.Instance, v.FailureDomain, v.Version, note)
	}
}

// getCommand prints a document.
type getCommand struct {
	app  *app
	Args nameArgument `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *getCommand) Execute([]string) error {
	return c.app.callAPI(func(ctx context.Context, client *adminclient.Client) error {
		document, err := client.Get(ctx, c.Args.Name)
		if err != nil {
			return err
		}
		return c.app.printData(document, func(w *tabwriter.Writer) {
			_, _ = w.Write([]byte(addVersionLine(document.Text, document.Version)))
		})
	})
}

// drainCommand starts the graceful shutdown of the instance.
type drainCommand struct{ app *app }

// Execute implements flags.Commander.
func (c *drainCommand) Execute([]string) error {
	return c.app.callAPI(func(ctx context.Context, client *adminclient.Client) error {
		view, err := client.Drain(ctx)
		if err != nil {
			return err
		}
		return c.app.printData(view, func(w *tabwriter.Writer) {
			writeRow(w, "draining: no new callers are taken, requests in flight finish, then the process exits")
		})
	})
}
