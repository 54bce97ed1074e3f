package linedemo

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/topazrock/topazrock/internal/standin/linecaller"
)

// codeBusy is the protocol's error code for a statement that did not run.
const codeBusy = "BUSY"

// statementTimeout is the callers' timeout for connecting and for each statement.
const statementTimeout = 5 * time.Second

// caller writes increasing numbers to a key of its own and checks that reads return the
// last acknowledged one or a later one.
type caller struct {
	system       *system
	report       *Report
	number       int
	homeInstance int
	// lastWritten is the last number sent, lastAcknowledged the last one whose write was
	// acknowledged.
	lastWritten, lastAcknowledged int
	// ownSession writes, and reads its own writes; otherSession reads at another instance.
	ownSession, otherSession *linecaller.Session
}

// run writes and reads until ctx ends.
func (c *caller) run(ctx context.Context) {
	defer func() {
		c.ownSession.Close()
		c.otherSession.Close()
	}()
	for ctx.Err() == nil {
		c.ownSession = c.ensureSession(c.ownSession, c.homeInstance, ownDatabase)
		c.writeNext()
		c.checkRead(c.ownSession)
		c.otherSession = c.ensureSession(c.otherSession, (c.homeInstance+1)%len(failureDomains), freshDatabase)
		c.checkRead(c.otherSession)
		sleep(ctx, thinkTime)
	}
}

// ensureSession returns s if it still works, otherwise a new session at the instance.
func (c *caller) ensureSession(s *linecaller.Session, instance int, database string) *linecaller.Session {
	if !s.Broken() {
		return s
	}
	return linecaller.Open(c.system.callerAddresses[instance], database, statementTimeout)
}

func (c *caller) key() string { return "caller" + strconv.Itoa(c.number) }

// writeNext writes the next number and records the outcome.
func (c *caller) writeNext() {
	c.lastWritten++
	a := c.ownSession.Run(fmt.Sprintf("%d-%d-w", c.number, c.lastWritten), fmt.Sprintf("WRITE %s %d", c.key(), c.lastWritten))
	switch {
	case a.Complete && a.Code == "":
		c.lastAcknowledged = c.lastWritten
		c.report.recordAcknowledged()
	case a.Complete && a.Code == codeBusy:
		c.report.increment(&c.report.Refused)
	default:
		c.report.increment(&c.report.Unknown)
	}
}

// checkRead reads the key and counts a stale read if the value is older than the last
// acknowledged write. It reports whether the read succeeded.
func (c *caller) checkRead(s *linecaller.Session) bool {
	id := fmt.Sprintf("%d-%d-%s-%d", c.number, c.lastWritten, s.Database, time.Now().UnixNano())
	a := s.Run(id, "READ "+c.key())
	if !a.Complete || a.Code != "" {
		return false
	}
	c.report.increment(&c.report.Reads)
	value, _ := strconv.Atoi(strings.TrimPrefix(a.Row, "v="))
	if value < c.lastAcknowledged {
		c.report.increment(&c.report.Stale)
	}
	return true
}

const (
	// verifyAttempts is how many times verifyLastWrite tries to read, and verifyInterval
	// is the pause between two attempts.
	verifyAttempts = 50
	verifyInterval = 100 * time.Millisecond
)

// verifyLastWrite reads the key at the end of the run. A value below the last
// acknowledged number means that this write, and possibly others, were lost. If no
// attempt succeeds, that counts as lost as well.
func (c *caller) verifyLastWrite(ctx context.Context) {
	for range verifyAttempts {
		staleBefore := c.report.Stale
		s := linecaller.Open(c.system.callerAddresses[c.homeInstance], freshDatabase, statementTimeout)
		succeeded := c.checkRead(s)
		s.Close()
		if succeeded {
			c.report.Lost += c.report.Stale - staleBefore
			return
		}
		sleep(ctx, verifyInterval)
	}
	c.report.Lost++
}
