// Package logqueue accepts log lines from any goroutine and writes them in a single
// goroutine, so that a slow reader of the log never blocks the code that logs. When
// the queue is full, lines are dropped and counted; the next write reports how many.
package logqueue

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// maxQueuedBytes limits the queued lines, in bytes. This is enough for a few
	// hundred lines, about as many as are logged in one second under load.
	maxQueuedBytes = 256 << 10
	// maxWriteBytes limits the queued bytes in one write to the output.
	maxWriteBytes = 64 << 10
	// closeTimeout limits how long Close waits for the reader of the log.
	closeTimeout = 100 * time.Millisecond
)

// Queue is an io.Writer that never blocks.
type Queue struct {
	out     io.Writer
	dropped prometheus.Counter

	mu              sync.Mutex
	queued          []byte
	unreportedDrops int
	closed          bool
	// ready signals that lines are queued. Its capacity of one keeps a signal that is
	// sent while run is writing.
	ready chan struct{}
	quit  chan struct{}
	done  chan struct{}
}

// New returns a Queue that writes to out until Close.
func New(out io.Writer, r prometheus.Registerer) *Queue {
	q := &Queue{
		out: out,
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "topazrock_log_lines_dropped_total",
			Help: "Log lines dropped because whoever reads the log was too slow.",
		}),
		ready: make(chan struct{}, 1),
		quit:  make(chan struct{}),
		done:  make(chan struct{}),
	}
	r.MustRegister(q.dropped)
	go q.run()
	return q
}

// Write implements io.Writer. One call is one line.
func (q *Queue) Write(line []byte) (int, error) {
	q.mu.Lock()
	if q.closed || len(q.queued)+len(line) > maxQueuedBytes {
		q.unreportedDrops++
		q.mu.Unlock()
		q.dropped.Inc()
		return len(line), nil
	}
	q.queued = append(q.queued, line...)
	q.mu.Unlock()
	select {
	case q.ready <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Close writes the queued lines and stops the queue. If the reader of the log has stalled, it
// gives up: the process would otherwise not end.
func (q *Queue) Close() {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	close(q.quit)
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-q.done:
	case <-timer.C:
	}
}

func (q *Queue) run() {
	defer close(q.done)
	var buffer []byte
	for {
		select {
		case <-q.ready:
			buffer = q.writeQueued(buffer)
		case <-q.quit:
			q.writeQueued(buffer)
			return
		}
	}
}

// writeQueued writes all queued lines, and returns the buffer for reuse.
func (q *Queue) writeQueued(buffer []byte) []byte {
	for {
		buffer = q.dequeue(buffer[:0])
		if len(buffer) == 0 {
			return buffer
		}
		// The error is ignored because there is nowhere else to report it.
		_, _ = q.out.Write(buffer)
	}
}

// dequeue moves queued bytes into buffer, after a line that reports dropped lines.
func (q *Queue) dequeue(buffer []byte) []byte {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.unreportedDrops > 0 {
		buffer = fmt.Appendf(buffer, "{\"@level\":\"warn\",\"@message\":\"Log lines were dropped.\",\"lines\":%d}\n", q.unreportedDrops)
		q.unreportedDrops = 0
	}
	n := min(len(q.queued), maxWriteBytes)
	buffer = append(buffer, q.queued[:n]...)
	q.queued = append(q.queued[:0], q.queued[n:]...)
	return buffer
}
