package cli

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"regexp"
	"text/tabwriter"

	"github.com/samber/oops"

	"github.com/topazrock/topazrock/internal/adminclient"
	"github.com/topazrock/topazrock/internal/document"
	"github.com/topazrock/topazrock/internal/settings"
)

// fileArgument is the command-line argument for the name of a file.
type fileArgument struct {
	File string `positional-arg-name:"FILE" description:"settings file or service document"`
}

// checkCommand validates settings or a service document.
type checkCommand struct {
	app    *app
	Remote bool         `long:"remote" description:"check a service document at the instance instead of here"`
	Args   fileArgument `positional-args:"yes" required:"yes"`
}

// checkResult is the JSON output of the check command.
type checkResult struct {
	File string `json:"file"`
	// Kind is "settings" or "service document".
	Kind  string `json:"kind"`
	Valid bool   `json:"valid"`
}

// Kinds of files.
const (
	kindSettings = "settings"
	kindDocument = "service document"
)

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	text, err := os.ReadFile(c.Args.File)
	if err != nil {
		return oops.In("cli").Wrapf(err, "read the file")
	}
	kind, err := c.checkText(text)
	if err != nil {
		return err
	}
	return c.app.printData(checkResult{File: c.Args.File, Kind: kind, Valid: true}, func(w *tabwriter.Writer) {
		fmt.Fprintf(w, "%s: valid %s\n", c.Args.File, kind)
	})
}

// checkText validates the text and returns its kind.
func (c *checkCommand) checkText(text []byte) (string, error) {
	if !isServiceDocument(text) {
		_, err := settings.Parse(c.Args.File, text)
		return kindSettings, withInvalidExit(err)
	}
	name, err := serviceName(c.Args.File, text)
	if err != nil || !c.Remote {
		return kindDocument, withInvalidExit(err)
	}
	return kindDocument, c.app.callAPI(func(ctx context.Context, client *adminclient.Client) error {
		body, _ := cutVersionLine(string(text))
		return client.Check(ctx, name, body)
	})
}

// serviceSection matches the section that every service document has.
var serviceSection = regexp.MustCompile(`(?m)^\s*\[\s*service\s*\]`)

// isServiceDocument reports whether text is a service document; otherwise it is
// treated as settings.
func isServiceDocument(text []byte) bool {
	return serviceSection.Match(bytes.TrimPrefix(text, []byte("\ufeff")))
}

// serviceName parses a service document and returns the service's name.
func serviceName(fileName string, text []byte) (string, error) {
	service, err := document.Parse(fileName, text)
	if err != nil {
		return "", err
	}
	return service.Name, nil
}

// withInvalidExit gives a validation error the exit code ExitInvalid.
func withInvalidExit(err error) error {
	if err == nil {
		return nil
	}
	return &exitError{ExitInvalid, err}
}
