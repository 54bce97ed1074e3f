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

// fileArgument is the name of a file on the command line.
type fileArgument struct {
	File string `positional-arg-name:"FILE" description:"settings file or service document"`
}

// checkCommand checks settings or a service document.
type checkCommand struct {
	root   *root
	Remote bool         `long:"remote" description:"check a service document at the instance instead of here"`
	Args   fileArgument `positional-args:"yes" required:"yes"`
}

// checkAnswer is what check prints as JSON.
type checkAnswer struct {
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
	kind, err := c.check(text)
	if err != nil {
		return err
	}
	return c.root.print(checkAnswer{File: c.Args.File, Kind: kind, Valid: true}, func(w *tabwriter.Writer) {
		fmt.Fprintf(w, "%s: valid %s\n", c.Args.File, kind)
	})
}

// check returns the kind of the text and its faults.
func (c *checkCommand) check(text []byte) (string, error) {
	if !isDocument(text) {
		_, err := settings.Parse(c.Args.File, text)
		return kindSettings, invalid(err)
	}
	name, err := serviceName(c.Args.File, text)
	if err != nil || !c.Remote {
		return kindDocument, invalid(err)
	}
	return kindDocument, c.root.call(func(ctx context.Context, client *adminclient.Client) error {
		body, _ := cutVersionLine(string(text))
		return client.Check(ctx, name, body)
	})
}

// serviceSection matches the section that every service document has.
var serviceSection = regexp.MustCompile(`(?m)^\s*\[\s*service\s*\]`)

// isDocument tells a service document from settings.
func isDocument(text []byte) bool {
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

// invalid gives a fault of a file its exit code.
func invalid(err error) error {
	if err == nil {
		return nil
	}
	return &exitError{ExitInvalid, err}
}
