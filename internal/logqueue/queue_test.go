package logqueue

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
)

// gate is a writer that takes nothing until it is opened.
type gate struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (g *gate) Write(b []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(b)
}

// Whoever reads the log has stopped. Lines wait up to the bound, the rest is dropped and
// counted, and no writer waits; afterwards the log says how many are missing.
func TestStoppedReaderHoldsNobodyUp(t *testing.T) {
	is := is.New(t)
	g := &gate{open: make(chan struct{})}
	r := prometheus.NewRegistry()
	q := New(g, r)
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
	close(g.open)
	q.Close()
	is.Equal(strings.Count(g.text.String(), string(line)), lines-dropped)
	is.True(strings.Contains(g.text.String(), "Log lines were dropped."))
	_, err = q.Write(line) // behind the end nothing is written, and nothing breaks
	is.NoErr(err)
}

// BenchmarkWrite is the cost of one line of 200 bytes while the log is read.
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
