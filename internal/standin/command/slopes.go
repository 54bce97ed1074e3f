package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"slices"
	"syscall"
	"time"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/standin/loopback"
	"github.com/topazrock/topazrock/internal/standin/slopes"
)

// slopesCommand measures the slopes listed in docs/CAPACITY.md.
type slopesCommand struct {
	Only   []string      `long:"only" description:"measure only this driver; may be given again" value-name:"DRIVER"`
	Window time.Duration `long:"window" default:"5s" description:"how long each load runs"`
	Seed   uint64        `long:"seed" default:"1" description:"seed of all random choices"`
	ctx    context.Context
	out    io.Writer
}

// memberStartTimeout is the timeout for each member process to start listening.
const memberStartTimeout = 5 * time.Second

// Execute implements flags.Commander.
func (c *slopesCommand) Execute([]string) error {
	members, stop, err := startMembers(c.ctx)
	if err != nil {
		return err
	}
	defer stop()
	fmt.Fprintf(c.out, "seed %d, window %v\n", c.Seed, c.Window)
	var all []slopes.Slope
	for _, m := range slopes.All() {
		if len(c.Only) > 0 && !slices.Contains(c.Only, m.Name) {
			continue
		}
		measured, err := m.Run(c.ctx, slopes.Options{Window: c.Window, Seed: c.Seed, Members: members})
		if err != nil {
			return fmt.Errorf("%s: %w", m.Name, err)
		}
		for _, s := range measured {
			c.printSlope(s)
		}
		all = append(all, measured...)
	}
	return json.NewEncoder(c.out).Encode(map[string]any{"seed": c.Seed, "slopes": all})
}

// printSlope prints one slope and its data points as text.
func (c *slopesCommand) printSlope(s slopes.Slope) {
	fmt.Fprintf(c.out, "%s, against %s: %.4g each, %.4g fixed, residual %.1f %%\n",
		s.Cost, s.Driver, s.PerUnit, s.Intercept, 100*s.Residual)
	for _, p := range s.Points {
		fmt.Fprintf(c.out, "    %8.0f  %.5g\n", p.X, p.Y)
	}
}

// startMembers starts three members in separate processes, so that their CPU time is not
// measured, and returns their addresses and a function that stops them.
func startMembers(ctx context.Context) ([]string, func(), error) {
	program, err := os.Executable()
	if err != nil {
		return nil, nil, err
	}
	var addresses []string
	var running []*exec.Cmd
	stop := func() {
		for _, m := range running {
			_ = m.Process.Signal(syscall.SIGTERM)
			_ = m.Wait()
		}
	}
	for range 3 {
		address, err := loopback.FreeAddress("127.0.0.1")
		if err == nil {
			addresses = append(addresses, address)
			m := exec.Command(program, "member", "--address", address, "--primary", addresses[0],
				"--connections", "0", "--slots", "0", "--connect-delay", "0s")
			if err = m.Start(); err == nil {
				running = append(running, m)
			}
		}
		if err != nil {
			stop()
			return nil, nil, err
		}
	}
	for _, address := range addresses {
		if err := waitListening(ctx, address); err != nil {
			stop()
			return nil, nil, err
		}
	}
	return addresses, stop, nil
}

// waitListening dials until a process listens at the address or memberStartTimeout ends.
func waitListening(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, memberStartTimeout)
	defer cancel()
	for {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			return conn.Close()
		}
		if clock.Sleep(ctx, clock.System{}, 20*time.Millisecond) != nil {
			return err
		}
	}
}
