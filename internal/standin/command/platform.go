package command

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"

	"github.com/topazrock/topazrock/internal/standin/platform"
)

// platformCommand serves the platform API until SIGTERM or SIGINT.
type platformCommand struct {
	Address string `long:"address" default:"127.0.0.1:8080" description:"IP address and port to listen at"`
	environment
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	l, err := net.Listen("tcp", c.Address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: platform.Handler(platform.NewStore())}
	defer context.AfterFunc(c.ctx, func() { _ = server.Close() })()
	fmt.Fprintf(c.out, "platform: listening at %s\n", l.Addr())
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
