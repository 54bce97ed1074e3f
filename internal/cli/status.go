package cli

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/topazrock/topazrock/internal/adminapi"
	"github.com/topazrock/topazrock/internal/adminclient"
)

// statusCommand shows groups, pools, peers and readiness.
type statusCommand struct{ root *root }

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	return c.root.call(func(ctx context.Context, client *adminclient.Client) error {
		status, err := client.Status(ctx)
		if err != nil {
			return err
		}
		return c.root.print(status, func(w *tabwriter.Writer) { writeStatus(w, status) })
	})
}

func writeStatus(w *tabwriter.Writer, s adminapi.StatusView) {
	line(w, "instance", s.Instance.ID, s.Instance.FailureDomain, s.Instance.Build)
	line(w, "state", stateText(s))
	for _, d := range s.Documents {
		line(w, "document", d.Name, fmt.Sprintf("version %d", d.Version))
	}
	writeGroups(w, s.Groups)
	writePools(w, s.Pools)
	writeWorkspaces(w, s.Workspaces)
	writePeers(w, s.Peers)
}

// stateText returns ready, draining, or why the instance is not ready.
func stateText(s adminapi.StatusView) string {
	switch {
	case s.Draining:
		return "draining"
	case s.Readiness.Ready:
		return "ready"
	default:
		return "not ready: " + strings.Join(s.Readiness.Reasons, ", ")
	}
}

func writeGroups(w *tabwriter.Writer, groups []adminapi.GroupView) {
	if len(groups) == 0 {
		return
	}
	line(w)
	line(w, "GROUP", "STATE", "TERM", "MEMBER", "FAILURE DOMAIN", "ROLE", "LAG", "DATA AGE", "NOTE")
	for _, g := range groups {
		for _, m := range g.Members {
			line(w, g.Name, g.State, g.Term, m.Address, m.FailureDomain, m.Role,
				unlessNegative(m.LagBytes, "B"), unlessNegative(m.FreshMillis, "ms"), memberNote(m))
		}
	}
}

// unlessNegative prints a number with its unit, or a dash for one not known.
func unlessNegative(n int64, unit string) string {
	if n < 0 {
		return "-"
	}
	return fmt.Sprintf("%d %s", n, unit)
}

func memberNote(m adminapi.MemberView) string {
	var notes []string
	if m.Failing {
		notes = append(notes, "probes fail")
	}
	if m.Leaving {
		notes = append(notes, "leaving")
	}
	return strings.Join(notes, ", ")
}

func writePools(w *tabwriter.Writer, pools []adminapi.PoolView) {
	if len(pools) == 0 {
		return
	}
	line(w)
	line(w, "POOL", "TOTAL", "SEATED", "SHARE", "SLOTS", "IN USE", "IDLE")
	for _, p := range pools {
		line(w, p.Group, p.Total, p.Seated, p.Share, p.Slots, p.InUse, p.Idle)
	}
}

func writeWorkspaces(w *tabwriter.Writer, workspaces []adminapi.WorkspaceView) {
	if len(workspaces) == 0 {
		return
	}
	line(w)
	line(w, "WORKSPACE", "PRIORITY", "RATE", "BURST", "ASKED HERE", "REFUSED HERE")
	for _, v := range workspaces {
		line(w, v.Name, v.Priority, limitText(v.Rate), limitText(v.Burst), fmt.Sprintf("%.1f/s", v.BegunPerSecond), v.Refused)
	}
}

// limitText prints a part of a limit, or a dash where there is none.
func limitText(n float64) string {
	if n == 0 {
		return "-"
	}
	return fmt.Sprintf("%g", n)
}

func writePeers(w *tabwriter.Writer, peers []adminapi.PeerView) {
	if len(peers) == 0 {
		return
	}
	line(w)
	line(w, "PEER", "FAILURE DOMAIN", "ADDRESS", "CONNECTED", "LEAVING")
	for _, p := range peers {
		line(w, p.ID, p.FailureDomain, p.Address, p.Connected, p.Leaving)
	}
}
