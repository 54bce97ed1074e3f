package instance

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
)

// heldShare is a share whose release takes longer than a shutdown.
type heldShare struct{ connectionShare }

// Close implements connectionShare.
func (s heldShare) Close(ctx context.Context) error {
	time.Sleep(2 * defaultCloseTimeout)
	return s.connectionShare.Close(ctx)
}

// lockedLog is a log that several goroutines write.
type lockedLog struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (l *lockedLog) Write(text []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(text)
}

func (l *lockedLog) lines() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Split(l.text.String(), "\n")
}

// Guards against a log line of a shutdown that timed out and does not tell which group's home it
// waited for.
func TestTimedOutShutdownNamesTheHomeThatDidNotStop(t *testing.T) {
	withCluster(t, func(tc *testCluster) {
		var log lockedLog
		n := tc.instances[0]
		n.options.Logger = hclog.New(&hclog.LoggerOptions{Output: &log, Level: hclog.Info, JSONFormat: true})
		h := n.home(testGroup)
		tc.is.True(h != nil)
		h.share = heldShare{h.share}
		tc.draining[0] = true
		tc.stop[0]()
		err := <-tc.runErrors[0]
		tc.runErrors[0] <- err
		named := 0
		for _, line := range log.lines() {
			if strings.Contains(line, "Shutdown timed out.") && strings.Contains(line, "stop home of group "+testGroup) {
				named++
			}
		}
		tc.is.Equal(named, 1)
		time.Sleep(2 * defaultCloseTimeout)
	})
}
