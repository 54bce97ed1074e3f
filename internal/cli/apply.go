package cli

import (
	"context"
	"errors"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/samber/oops"

	"github.com/topazrock/topazrock/internal/adminapi"
	"github.com/topazrock/topazrock/internal/adminclient"
	"github.com/topazrock/topazrock/internal/clock"
)

// errNoVersion tells how to name the version that was edited.
var errNoVersion = errors.New("which version was edited? Start from the output of topazrock get, " +
	"or give --if-version N, or --new for a document that does not exist yet")

// applyCommand stores a service document.
type applyCommand struct {
	root      *root
	IfVersion int64         `long:"if-version" description:"version that the document was edited from" value-name:"N"`
	New       bool          `long:"new" description:"the document does not exist yet"`
	Wait      bool          `long:"wait" description:"return when all live instances report the version"`
	WaitTime  time.Duration `long:"wait-time" default:"18s" description:"longest wait for the instances" value-name:"TIME"`
	Args      fileArgument  `positional-args:"yes" required:"yes"`
}

// applyAnswer is what apply prints as JSON.
type applyAnswer struct {
	Service string `json:"service"`
	adminapi.Outcome
	// Missing lists the live instances that did not report the version in time.
	Missing []adminapi.InstanceVersion `json:"missing,omitempty"`
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	text, err := os.ReadFile(c.Args.File)
	if err != nil {
		return oops.In("cli").Wrapf(err, "read the document")
	}
	body, version := cutVersionLine(string(text))
	if version, err = c.editedVersion(version); err != nil {
		return &exitError{ExitUsage, err}
	}
	name, err := serviceName(c.Args.File, text)
	if err != nil {
		return &exitError{ExitInvalid, err}
	}
	return c.apply(name, body, version)
}

// editedVersion picks the version that was edited; written is the one in the file.
func (c *applyCommand) editedVersion(written int64) (int64, error) {
	switch {
	case c.New && c.IfVersion == 0:
		return 0, nil
	case c.New || c.IfVersion < 0:
		return 0, errNoVersion
	case c.IfVersion > 0:
		return c.IfVersion, nil
	case written > 0:
		return written, nil
	default:
		return 0, errNoVersion
	}
}

func (c *applyCommand) apply(name, body string, version int64) error {
	client, err := c.root.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.root.ctx, c.root.options.Timeout)
	defer cancel()
	outcome, err := client.Apply(ctx, name, body, version)
	if errors.Is(err, adminclient.ErrNoAnswer) {
		return &exitError{ExitUnknown, fmt.Errorf("%s: %w; look with: topazrock history %s", adminapi.StateSettling, err, name)}
	}
	if err != nil {
		return err
	}
	answer := applyAnswer{Service: name, Outcome: outcome}
	if c.Wait {
		answer.Missing, err = c.wait(client, name, outcome.Version)
	}
	return errors.Join(c.print(answer), err)
}

// wait returns the instances that do not have the version in force.
func (c *applyCommand) wait(client *adminclient.Client, name string, version int64) ([]adminapi.InstanceVersion, error) {
	ctx, cancel := context.WithTimeout(c.root.ctx, c.WaitTime)
	defer cancel()
	ask := func(ctx context.Context) ([]adminapi.InstanceVersion, error) { return client.InForce(ctx, name) }
	missing, err := waitInForce(ctx, clock.System{}, ask, version)
	if err == nil && len(missing) == 0 {
		return nil, nil
	}
	if err == nil {
		err = fmt.Errorf("%d live instances did not report version %d within %v", len(missing), version, c.WaitTime)
	}
	return missing, &exitError{ExitNotEverywhere, err}
}

func (c *applyCommand) print(a applyAnswer) error {
	return c.root.print(a, func(w *tabwriter.Writer) {
		fmt.Fprintf(w, "%s: accepted as version %d\n", a.Service, a.Version)
		if c.Wait && len(a.Missing) > 0 {
			writeVersions(w, a.Missing)
		}
	})
}
