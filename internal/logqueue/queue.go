// Package logqueue takes log lines from any goroutine and writes them from one, so
// that nobody ever waits for whoever reads the log. When the queue is full, lines
// are dropped and counted; the next line that is written says how many.
package logqueue

import (
	"fmt"
	"io"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// capacity bounds the lines that wait, by their bytes: some hundred lines, the
	// decisions of a second under load.
	capacity = 256 << 10
	// batch is how many bytes go out in one write at most.
	batch = 64 << 10
)

// Queue is an io.Writer that never blocks.
type Queue struct {
	out     io.Writer
	dropped prometheus.Counter

	mu      sync.Mutex
	waiting []byte
	lost    int
	closed  bool
	// ready has room for one signal that there is something to write.
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
	if q.closed || len(q.waiting)+len(line) > capacity {
		q.lost++
		q.mu.Unlock()
		q.dropped.Inc()
		return len(line), nil
	}
	q.waiting = append(q.waiting, line...)
	q.mu.Unlock()
	select {
	case q.ready <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Close writes what waits and ends the queue.
func (q *Queue) Close() {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	close(q.quit)
	<-q.done
}

func (q *Queue) run() {
	defer close(q.done)
	var buffer []byte
	for {
		select {
		case <-q.ready:
			buffer = q.drain(buffer)
		case <-q.quit:
			q.drain(buffer)
			return
		}
	}
}

// drain writes all that waits, and returns the buffer for the next time.
func (q *Queue) drain(buffer []byte) []byte {
	for {
		buffer = q.take(buffer[:0])
		if len(buffer) == 0 {
			return buffer
		}
		// There is nowhere to report a log that cannot be written.
		_, _ = q.out.Write(buffer)
	}
}

// take moves what waits into buffer.
func (q *Queue) take(buffer []byte) []byte {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.lost > 0 {
		buffer = fmt.Appendf(buffer, "{\"@level\":\"warn\",\"@message\":\"Log lines were dropped.\",\"lines\":%d}\n", q.lost)
		q.lost = 0
	}
	n := min(len(q.waiting), batch)
	buffer = append(buffer, q.waiting[:n]...)
	q.waiting = append(q.waiting[:0], q.waiting[n:]...)
	return buffer
}
