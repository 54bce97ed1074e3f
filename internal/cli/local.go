package cli

import (
	"bufio"
	"errors"
	"fmt"
	"strings"

	"github.com/topazrock/topazrock/internal/build"
	"github.com/topazrock/topazrock/internal/document"
	"github.com/topazrock/topazrock/internal/result"
)

// versionCommand prints the version of the program.
type versionCommand struct{ app *app }

// Execute implements flags.Commander.
func (c *versionCommand) Execute([]string) error {
	_, err := fmt.Fprintln(c.app.env.Stdout, "topazrock", build.Version())
	return err
}

// codesCommand prints the page of result codes.
type codesCommand struct{ app *app }

// Execute implements flags.Commander.
func (c *codesCommand) Execute([]string) error { return result.WritePage(c.app.env.Stdout) }

// verifierCommand prints the verifier of a password, for a service document.
type verifierCommand struct{ app *app }

// Execute implements flags.Commander. The password is read from standard input
// because arguments are visible in the process list.
func (c *verifierCommand) Execute([]string) error {
	input := bufio.NewScanner(c.app.env.Stdin)
	if !input.Scan() {
		return &exitError{ExitUsage, errors.New("give the password as one line on standard input")}
	}
	password := strings.TrimSuffix(input.Text(), "\r")
	if password == "" {
		return &exitError{ExitUsage, errors.New("the password is empty")}
	}
	verifier, err := document.NewVerifier(password)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(c.app.env.Stdout, verifier)
	return err
}
