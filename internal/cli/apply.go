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

// errNoEditedVersion explains how to specify the version that was edited.
var errNoEditedVersion = errors.New("which version was edited? Start from the output of topazrock get, " +
	"or give --if-version N, or --new for a document that does not exist yet")

// applyCommand stores a service document.
type applyCommand struct {
	app       *app
	IfVersion int64         `long:"if-version" description:"version that the document was edited from" value-name:"N"`
	New       bool          `long:"new" description:"the document does not exist yet"`
	Wait      bool          `long:"wait" description:"return when all live instances report the version"`
	WaitTime  time.Duration `long:"wait-time" default:"18s" description:"longest wait for the instances" value-name:"TIME"`
	Args      fileArgument  `positional-args:"yes" required:"yes"`
}

// applyResult is the JSON output of the apply command.
type applyResult struct {
	Service string `json:"service"`
	adminapi.Outcome
	// Missing lists the live instances that did not report the version before
	// the time limit.
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
	return c.applyDocument(name, body, version)
}

// editedVersion returns the version that was edited. fromFile is the version in
// the file's version line; options take precedence over it.
func (c *applyCommand) editedVersion(fromFile int64) (int64, error) {
	switch {
	case c.New && c.IfVersion == 0:
		return 0, nil
	case c.New || c.IfVersion < 0:
		return 0, errNoEditedVersion
	case c.IfVersion > 0:
		return c.IfVersion, nil
	case fromFile > 0:
		return fromFile, nil
	default:
		return 0, errNoEditedVersion
	}
}

func (c *applyCommand) applyDocument(name, body string, version int64) error {
	client, err := c.app.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.app.ctx, c.app.options.Timeout)
	defer cancel()
	outcome, err := client.Apply(ctx, name, body, version)
	if errors.Is(err, adminclient.ErrNoResponse) {
		return &exitError{ExitOutcomeUnknown, fmt.Errorf("%s: %w; look with: topazrock history %s", adminapi.StateOutcomeUnknown, err, name)}
	}
	if err != nil {
		return err
	}
	applied := applyResult{Service: name, Outcome: outcome}
	if c.Wait {
		applied.Missing, err = c.waitForInstances(client, name, outcome.Version)
	}
	return errors.Join(c.printResult(applied), err)
}

// waitForInstances waits until all live instances have the version in force. It
// returns those that do not report it before the time limit.
func (c *applyCommand) waitForInstances(client *adminclient.Client, name string, version int64) ([]adminapi.InstanceVersion, error) {
	ctx, cancel := context.WithTimeout(c.app.ctx, c.WaitTime)
	defer cancel()
	queryVersions := func(ctx context.Context) ([]adminapi.InstanceVersion, error) {
		return client.VersionsInForce(ctx, name)
	}
	missing, err := waitUntilInForce(ctx, clock.System{}, queryVersions, version)
	if err == nil && len(missing) == 0 {
		return nil, nil
	}
	if err == nil {
		err = fmt.Errorf("%d live instances did not report version %d within %v", len(missing), version, c.WaitTime)
	}
	return missing, &exitError{ExitNotAllInstances, err}
}

func (c *applyCommand) printResult(applied applyResult) error {
	return c.app.printData(applied, func(w *tabwriter.Writer) {
		fmt.Fprintf(w, "%s: accepted as version %d\n", applied.Service, applied.Version)
		if c.Wait && len(applied.Missing) > 0 {
			writeVersions(w, applied.Missing)
		}
	})
}
