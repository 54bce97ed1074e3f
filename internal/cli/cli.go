// Package cli is the command line of topazrock.
//
// Every command but serve, check, codes, verifier and version uses the
// administration API of one instance and nothing else.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

// Environment is what the command line gets from its process.
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

// Run runs one command and returns the exit code of the process.
func Run(ctx context.Context, env Environment) int {
	root := &root{ctx: ctx, env: env}
	parser := flags.NewNamedParser("topazrock", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "database proxy with session consistency"
	parser.LongDescription = "topazrock is a database proxy for PostgreSQL groups: every session reads its own writes.\n\n" +
		"Example: topazrock serve --settings /etc/topazrock.ini"
	if _, err := parser.AddGroup("API options", "", &root.options); err != nil {
		panic(err) // a malformed tag: found by any test that runs a command
	}
	root.addCommands(parser)
	_, err := parser.ParseArgs(env.Args)
	return report(env, err)
}

// report prints what the command came to and returns its exit code.
func report(env Environment, err error) int {
	var parse *flags.Error
	if errors.As(err, &parse) {
		if parse.Type == flags.ErrHelp {
			fmt.Fprintln(env.Stdout, parse.Message)
			return ExitOK
		}
		fmt.Fprintln(env.Stderr, "topazrock:", parse.Message)
		return ExitUsage
	}
	if err != nil {
		fmt.Fprintln(env.Stderr, "topazrock:", err)
	}
	return exitCode(err)
}
