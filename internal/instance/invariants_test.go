package instance

import (
	"fmt"
	"strings"
	"time"

	"github.com/topazrock/topazrock/internal/member"
)

// checkInvariants returns the violations at the end of a run, when faults are healed.
func (l *load) checkInvariants() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	violations := append([]string(nil), l.violations...)
	rows := l.cluster.finalRows()
	payments := make(map[string]int)
	for key := range rows {
		if payment, _, ok := strings.Cut(key, "-try"); ok {
			payments[payment]++
		}
		if half, ok := strings.CutSuffix(key, "a"); ok && strings.HasPrefix(key, "t-") {
			if _, ok := rows[half+"b"]; !ok {
				violations = append(violations, "partial transaction: "+half)
			}
		}
	}
	for payment, n := range payments {
		if n > 1 {
			violations = append(violations, fmt.Sprintf("payment %s ran %d times", payment, n))
		}
	}
	for key, o := range l.outcomes {
		_, there := rows[key]
		if o == outcomeAcknowledged && !there {
			violations = append(violations, "acknowledged but lost: "+key)
		}
		if o == outcomeDidNotRun && there {
			violations = append(violations, "reported as not run, but ran: "+key)
		}
	}
	if l.connections > testConnections {
		violations = append(violations, fmt.Sprintf("%d connections, limit %d", l.connections, testConnections))
	}
	return violations
}

// finalRows returns the rows of the group's current primary: the one with the highest term.
func (tc *testCluster) finalRows() map[string]string {
	var best *struct {
		term uint64
		rows map[string]string
	}
	for _, n := range tc.nodes {
		s := n.Status()
		if s.Role == member.RolePrimary && (best == nil || uint64(s.EnteredTerm) > best.term) {
			best = &struct {
				term uint64
				rows map[string]string
			}{uint64(s.EnteredTerm), n.Rows("kv")}
		}
	}
	if best == nil {
		return nil
	}
	return best.rows
}

// sampleConnections records the maximum number of connections that members had open at one
// time, including control connections.
func (l *load) sampleConnections() {
	for l.ctx.Err() == nil {
		sum := 0
		for _, n := range l.cluster.nodes {
			c := n.Connections()
			sum += c.Open + c.ControlOpen
		}
		l.mu.Lock()
		l.connections = max(l.connections, sum)
		l.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
	}
}
