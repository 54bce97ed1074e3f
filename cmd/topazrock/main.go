// Command topazrock runs the database proxy and provides the command line to
// operate it.
package main

import (
	"context"
	"os"
	"os/signal"
	"os/user"
	"syscall"

	"github.com/topazrock/topazrock/internal/cli"
	"github.com/topazrock/topazrock/platform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(cli.Run(ctx, cli.Environment{
		Args:   os.Args[1:],
		Stdin:  os.Stdin,
		Stdout: os.Stdout,
		Stderr: os.Stderr,
		User:   accountName(),
		Serve:  platform.Serve,
	}))
}

// accountName returns the name of the account that runs the process.
func accountName() string {
	account, err := user.Current()
	if err != nil {
		return ""
	}
	return account.Username
}
