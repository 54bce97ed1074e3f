// Package command implements the command line of topazrock-standin.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// Run runs one command line and returns the exit code: 0 for success, 1 if the command
// failed, 2 for invalid usage.
func Run(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	env := environment{ctx: ctx, out: stdout, err: stderr}
	parser := flags.NewNamedParser("topazrock-standin", flags.HelpFlag|flags.PassDoubleDash)
	addCommand := func(name, short, long string, c flags.Commander) {
		if _, err := parser.AddCommand(name, short, long, c); err != nil {
			panic(err)
		}
	}
	addCommand("platform", "Serve the platform's API",
		"Example: topazrock-standin platform --address 127.0.0.1:8080", &platformCommand{environment: env})
	addCommand("member", "Serve one member of a database group",
		"Example: topazrock-standin member --address 127.0.0.11:5432 --primary 127.0.0.11:5432", &memberCommand{environment: env})
	addCommand("demo", "Run the whole system in one process and kill a primary",
		"Exits with 1 when a promise was broken. Example: topazrock-standin demo", &demoCommand{environment: env})
	addCommand("bench", "Run a profile under load, with a fault half way",
		"The last line is one JSON object. Exits with 1 when a promise was broken. "+
			"Example: topazrock-standin bench --profile lentes --fault primary-kill", &benchCommand{environment: env})
	addCommand("plot", "Draw failover gap and replica share of bench runs as PNG and SVG",
		"Example: topazrock-standin plot lentes.txt ligacao-sul.txt", &plotCommand{out: stdout})
	addCommand("slopes", "Measure cost against callers, groups, instances, peers and documents",
		"Example: topazrock-standin slopes --window 10s --only groups", &slopesCommand{ctx: ctx, out: stdout})
	_, err := parser.ParseArgs(args)
	var usage *flags.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Fprintln(stdout, usage.Message)
		return exitOK
	case errors.As(err, &usage):
		fmt.Fprintln(stderr, usage.Message)
		return exitUsage
	default:
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
}
