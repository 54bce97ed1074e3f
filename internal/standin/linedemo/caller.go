package linedemo

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// caller writes ever higher numbers under a key of its own.
type caller struct {
	system *system
	report *Report
	number int
	home   int
	// written is the last number that was sent, and acknowledged the last one that
	// was acknowledged.
	written, acknowledged int
	// own is the session that writes; other reads at another instance.
	own, other *line
}

// run writes and reads until ctx ends.
func (c *caller) run(ctx context.Context) {
	defer func() {
		c.own.close()
		c.other.close()
	}()
	for ctx.Err() == nil {
		c.own = c.open(c.own, c.home, ownDatabase)
		c.write()
		c.read(c.own)
		c.other = c.open(c.other, (c.home+1)%len(domains), freshDatabase)
		c.read(c.other)
		wait(ctx, think)
	}
}

// open returns a session that works, an old one if it still does.
func (c *caller) open(l *line, instance int, database string) *line {
	if l != nil && !l.broken {
		return l
	}
	return dialLine(c.system.fronts[instance], database)
}

func (c *caller) key() string { return "caller" + strconv.Itoa(c.number) }

// write sends the next number.
func (c *caller) write() {
	c.written++
	_, code, ok := c.own.do(fmt.Sprintf("%d-%d-w", c.number, c.written), fmt.Sprintf("WRITE %s %d", c.key(), c.written))
	switch {
	case ok && code == "":
		c.acknowledged = c.written
		c.report.acknowledge()
	case ok && code == codeBusy:
		c.report.add(&c.report.Refused)
	default:
		c.report.add(&c.report.Unknown)
	}
}

// read looks whether a session shows what was acknowledged. It returns whether there
// was an answer.
func (c *caller) read(l *line) bool {
	id := fmt.Sprintf("%d-%d-%s-%d", c.number, c.written, l.database, time.Now().UnixNano())
	row, code, ok := l.do(id, "READ "+c.key())
	if !ok || code != "" {
		return false
	}
	c.report.add(&c.report.Reads)
	shown, _ := strconv.Atoi(strings.TrimPrefix(row, "v="))
	if shown < c.acknowledged {
		c.report.add(&c.report.Stale)
	}
	return true
}

const (
	// lookUps is how often the last look for a write is tried, and betweenLookUps the
	// pause between two tries.
	lookUps        = 50
	betweenLookUps = 100 * time.Millisecond
)

// lookForAll looks for the last acknowledged write. A lower number means that it, and
// maybe others, are lost; no answer in all tries counts as lost as well.
func (c *caller) lookForAll(ctx context.Context) {
	for range lookUps {
		stale := c.report.Stale
		l := dialLine(c.system.fronts[c.home], freshDatabase)
		answered := c.read(l)
		l.close()
		if answered {
			c.report.Lost += c.report.Stale - stale
			return
		}
		wait(ctx, betweenLookUps)
	}
	c.report.Lost++
}
