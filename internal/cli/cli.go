// Package cli implements the command line of topazrock.
//
// All commands except serve, check, codes, explain, verifier and version work
// through the administration API of one instance only.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

// Environment holds the arguments, streams and functions that the process
// provides to the command line.
type Environment struct {
	Args   []string
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	// User is the name of the account that runs the command.
	User string
	// Serve runs an entry instance from a settings file until ctx ends.
	Serve func(ctx context.Context, settingsFile string) error
}

// Run runs one command and returns the exit code for the process.
func Run(ctx context.Context, env Environment) int {
	app := &app{ctx: ctx, env: env}
	parser := flags.NewNamedParser("topazrock", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "database proxy with session consistency"
	parser.LongDescription = "topazrock is a database proxy for PostgreSQL groups: every session reads its own writes.\n\n" +
		"Example: topazrock serve --settings /etc/topazrock.ini"
	if _, err := parser.AddGroup("API options", "", &app.options); err != nil {
		panic(err) // malformed struct tag; any test that runs a command detects it
	}
	app.addCommands(parser)
	_, err := parser.ParseArgs(env.Args)
	return reportError(env, err)
}

// reportError prints the error or help text of a command, if any, and returns the
// exit code.
func reportError(env Environment, err error) int {
	var flagsErr *flags.Error
	if errors.As(err, &flagsErr) {
		if flagsErr.Type == flags.ErrHelp {
			fmt.Fprintln(env.Stdout, flagsErr.Message)
			return ExitOK
		}
		fmt.Fprintln(env.Stderr, "topazrock:", flagsErr.Message)
		return ExitUsage
	}
	if err != nil {
		fmt.Fprintln(env.Stderr, "topazrock:", err)
	}
	return exitCode(err)
}
