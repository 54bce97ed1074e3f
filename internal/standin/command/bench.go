package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/topazrock/topazrock/internal/standin/bench"
	"github.com/topazrock/topazrock/internal/standin/linedemo"
)

var errGuaranteeBroken = errors.New("a promise was broken; see the report")

// demoCommand implements the demo subcommand.
type demoCommand struct {
	Seed uint64 `long:"seed" default:"1" description:"seed of every random choice"`
	Wire string `long:"wire" default:"postgresql" choice:"postgresql" choice:"line" description:"protocol that callers and members speak"`
	Logs bool   `long:"logs" description:"show the instances' logs on the error output"`
	environment
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	if c.Wire == "line" {
		return c.runLineDemo()
	}
	r, err := bench.Demo(c.ctx, c.Seed, c.out, c.logWriter(c.Logs))
	return c.writeReport(r, err)
}

// runLineDemo runs the demo over the line protocol. The last line is the JSON report.
func (c *demoCommand) runLineDemo() error {
	r, err := linedemo.Run(c.ctx, c.Seed, c.out, c.logWriter(c.Logs))
	if err != nil {
		return err
	}
	fmt.Fprint(c.out, r.Summary())
	if err := r.Write(c.out); err != nil {
		return err
	}
	if r.Failed() {
		return errGuaranteeBroken
	}
	return nil
}

// benchCommand runs a profile under load and injects a fault halfway through.
type benchCommand struct {
	Profile   string        `long:"profile" required:"true" choice:"ligacao-sul" choice:"lentes" description:"whose places, sizes and mix"`
	Duration  time.Duration `long:"duration" default:"20s" description:"how long the load runs"`
	Seed      uint64        `long:"seed" default:"1" description:"seed of every random choice"`
	Fault     string        `long:"fault" default:"none" choice:"none" choice:"primary-kill" choice:"primary-cut" choice:"primary-pause" choice:"platform-down" choice:"replica-lag" description:"what happens half way"`
	Baseline  string        `long:"baseline" choice:"own-word" choice:"primary-reads" choice:"naive" description:"another design in the product's place: no confirmation, fresh reads at the primary, or both"`
	Fleets    int           `long:"fleets" default:"1" description:"how many fleets to run one after the other, each with the next seed"`
	Repeat    int           `long:"repeat" default:"1" description:"how often the primary is lost or paused"`
	Sessions  int           `long:"sessions" default:"48" description:"number of callers"`
	Think     time.Duration `long:"think" default:"100ms" description:"mean pause of a caller between requests"`
	Lag       time.Duration `long:"lag" default:"50ms" description:"replication lag of every replica"`
	Cost      time.Duration `long:"cost" default:"500us" description:"how long a member works on a statement"`
	Instances int           `long:"instances" description:"number of entry instances (default: those of today)"`
	Logs      bool          `long:"logs" description:"show the instances' logs on the error output"`
	environment
}

// Execute implements flags.Commander.
func (c *benchCommand) Execute([]string) error {
	r, err := bench.Run(c.ctx, bench.Config{
		Profile: c.Profile, Duration: c.Duration, Seed: c.Seed, Fault: bench.Fault(c.Fault), Fleets: c.Fleets, Repeat: c.Repeat,
		Baseline: bench.Baseline(c.Baseline), StatementCost: c.Cost, Instances: c.Instances,
		Sessions: c.Sessions, ThinkTime: c.Think, ReplicationLag: c.Lag, Progress: c.out, Logs: c.logWriter(c.Logs),
	})
	return c.writeReport(r, err)
}

// environment holds the context and the output streams that Run passes to commands.
type environment struct {
	ctx      context.Context
	out, err io.Writer
}

func (e environment) logWriter(show bool) io.Writer {
	if show {
		return e.err
	}
	return io.Discard
}

// writeReport writes the report as the last line and returns an error if a guarantee was
// violated.
func (e environment) writeReport(r *bench.Report, err error) error {
	if r == nil {
		return err
	}
	if err := r.Write(e.out); err != nil {
		return err
	}
	if err == nil && r.Failed() {
		return errGuaranteeBroken
	}
	return err
}
