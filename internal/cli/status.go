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
type statusCommand struct{ app *app }

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	return c.app.callAPI(func(ctx context.Context, client *adminclient.Client) error {
		status, err := client.Status(ctx)
		if err != nil {
			return err
		}
		return c.app.printData(status, func(w *tabwriter.Writer) { writeStatus(w, status) })
	})
}

func writeStatus(w *tabwriter.Writer, s adminapi.StatusView) {
	writeRow(w, "instance", s.Instance.ID, s.Instance.FailureDomain, s.Instance.Build)
	writeRow(w, "state", stateText(s))
	for _, d := range s.Documents {
		writeRow(w, "document", d.Name, fmt.Sprintf("version %d", d.Version))
	}
	writeGroups(w, s.Groups)
	writePools(w, s.Pools)
	writeWorkspaces(w, s.Workspaces)
	writePeers(w, s.Peers)
}

// stateText returns "ready", "draining", or the reasons why the instance is not
// ready.
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
	writeRow(w)
	writeRow(w, "GROUP", "STATE", "TERM", "MEMBER", "FAILURE DOMAIN", "ROLE", "LAG", "DATA AGE", "NOTE")
	for _, g := range groups {
		for _, m := range g.Members {
			writeRow(w, g.Name, g.State, g.Term, m.Address, m.FailureDomain, m.Role,
				valueOrDash(m.LagBytes, "B"), valueOrDash(m.MaxAgeMillis, "ms"), memberNote(m))
		}
	}
}

// valueOrDash formats a number with its unit; a negative number means unknown and
// becomes a dash.
func valueOrDash(n int64, unit string) string {
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
	writeRow(w)
	writeRow(w, "POOL", "TOTAL", "SEATED", "SHARE", "SLOTS", "IN USE", "IDLE")
	for _, p := range pools {
		writeRow(w, p.Group, p.Total, p.Seated, p.Share, p.Slots, p.InUse, p.Idle)
	}
}

func writeWorkspaces(w *tabwriter.Writer, workspaces []adminapi.WorkspaceView) {
	if len(workspaces) == 0 {
		return
	}
	writeRow(w)
	writeRow(w, "WORKSPACE", "PRIORITY", "RATE", "BURST", "ASKED HERE", "REFUSED HERE")
	for _, v := range workspaces {
		writeRow(w, v.Name, v.Priority, limitOrDash(v.Rate), limitOrDash(v.Burst), fmt.Sprintf("%.1f/s", v.RequestedPerSecond), v.Refused)
	}
}

// limitOrDash formats the rate or burst of a limit; zero means no limit and
// becomes a dash.
func limitOrDash(n float64) string {
	if n == 0 {
		return "-"
	}
	return fmt.Sprintf("%g", n)
}

func writePeers(w *tabwriter.Writer, peers []adminapi.PeerView) {
	if len(peers) == 0 {
		return
	}
	writeRow(w)
	writeRow(w, "PEER", "FAILURE DOMAIN", "ADDRESS", "CONNECTED", "LEAVING")
	for _, p := range peers {
		writeRow(w, p.ID, p.FailureDomain, p.Address, p.Connected, p.Leaving)
	}
}
