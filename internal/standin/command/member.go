package command

import (
	"fmt"
	"time"

	"github.com/topazrock/topazrock/internal/netio"
	"github.com/topazrock/topazrock/internal/standin/member"
)

// memberCommand serves one member until SIGTERM or SIGINT.
type memberCommand struct {
	Address       string        `long:"address" required:"true" description:"IP address and port to listen at"`
	Primary       string        `long:"primary" description:"address of the primary of term 1; this member leads if it is its own"`
	Connections   int           `long:"connections" default:"35" description:"data connections taken at most; 0 for no bound"`
	Slots         int           `long:"slots" default:"5" description:"statements that run at once; 0 for no bound"`
	ConnectDelay  time.Duration `long:"connect-delay" default:"10ms" description:"set-up time of a connection"`
	Lag           time.Duration `long:"lag" default:"0s" description:"replication lag"`
	StatementCost time.Duration `long:"statement-cost" default:"0s" description:"how long a statement holds its slot"`
	environment
}

// Execute implements flags.Commander.
func (c *memberCommand) Execute([]string) error {
	n := member.New(member.Options{
		Address:                 c.Address,
		Primary:                 c.Primary,
		Network:                 netio.TCP{},
		MaxConnections:          c.Connections,
		MaxConcurrentStatements: c.Slots,
		ConnectDelay:            c.ConnectDelay,
		ReplicationLag:          c.Lag,
		StatementCost:           c.StatementCost,
	})
	if err := n.Start(); err != nil {
		return err
	}
	fmt.Fprintf(c.out, "member: listening at %s\n", c.Address)
	<-c.ctx.Done()
	n.Stop()
	return nil
}
