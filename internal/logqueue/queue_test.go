package logqueue

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
)

// blockedWriter is a writer that blocks until it is unblocked.
type blockedWriter struct {
	unblocked chan struct{}
	mu        sync.Mutex
	written   bytes.Buffer
}

// Write implements io.Writer.
func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.unblocked
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(b)
}

// The reader of the log has stalled. Lines are queued up to the limit, further ones are
// dropped and counted, and Write never blocks. Later the log reports how many were dropped.
func TestWriteDoesNotBlockOnStalledReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &blockedWriter{unblocked: make(chan struct{})}
		r := prometheus.NewRegistry()
		q := New(w, r)
		line := []byte(strings.Repeat("x", 1023) + "\n")
		const lines = 1000
		for range lines {
			n, err := q.Write(line)
			is.NoErr(err)
			is.Equal(n, len(line))
		}
		families, err := r.Gather()
		is.NoErr(err)
		dropped := int(families[0].GetMetric()[0].GetCounter().GetValue())
		is.True(dropped > 0)
		close(w.unblocked)
		q.Close()
		is.Equal(strings.Count(w.written.String(), string(line)), lines-dropped)
		is.True(strings.Contains(w.written.String(), "Log lines were dropped."))
		_, err = q.Write(line) // a Write after Close is dropped without an error
		is.NoErr(err)
	})
}

// Guards against a process that does not end, and is killed, because the reader of its log has
// stalled.
func TestCloseDoesNotWaitForAStalledReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &blockedWriter{unblocked: make(chan struct{})}
		q := New(w, prometheus.NewRegistry())
		_, err := q.Write([]byte("line\n"))
		is.NoErr(err)
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			q.Close()
		}()
		time.Sleep(200 * time.Millisecond)
		ended := false
		select {
		case <-closed:
			ended = true
		default:
		}
		close(w.unblocked)
		<-closed
		is.True(ended)
	})
}

// BenchmarkWrite measures one line of 200 bytes while the output accepts all writes.
func BenchmarkWrite(b *testing.B) {
	q := New(discard{}, prometheus.NewRegistry())
	defer q.Close()
	line := []byte(strings.Repeat("x", 199) + "\n")
	b.ReportAllocs()
	for b.Loop() {
		_, _ = q.Write(line)
	}
}

type discard struct{}

// Write implements io.Writer.
func (discard) Write(b []byte) (int, error) { return len(b), nil }
