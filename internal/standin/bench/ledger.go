package bench

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the latency histograms, in microseconds.
const (
	lowestLatency  = 1
	highestLatency = 120_000_000
	latencyDigits  = 3
)

// verdict is how a write ended for its caller.
type verdict int

const (
	acked verdict = iota
	didNotRun
	unknown
)

// entry is one write as its caller knows it.
type entry struct {
	group      int
	key, value string
}

// ledger keeps what the callers were told, to be checked at the end.
type ledger struct {
	mu       sync.Mutex
	acked    map[entry]struct{}
	refused  map[entry]struct{}
	unknown  int
	refusals map[string]int
	reads    int
	// staleOwn counts reads that missed the session's own write, staleFresh
	// fresh reads that missed an acked write of another session.
	staleOwn, staleFresh, wrong int
	latencies                   map[string]*hdrhistogram.Histogram
	// refusedIn is how long it took to refuse a request.
	refusedIn *hdrhistogram.Histogram
	// firstAck is when the first write was acked that began after the mark.
	mark     time.Time
	marked   int
	firstAck chan time.Time
}

func newLedger() *ledger {
	return &ledger{
		acked:     map[entry]struct{}{},
		refused:   map[entry]struct{}{},
		refusals:  map[string]int{},
		latencies: map[string]*hdrhistogram.Histogram{},
		refusedIn: newHistogram(),
		firstAck:  make(chan time.Time, 1),
	}
}

// wrote records how a write ended.
func (l *ledger) wrote(e entry, v verdict, class string, began time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch v {
	case acked:
		l.acked[e] = struct{}{}
		l.took(class, began)
		if !l.mark.IsZero() && e.group == l.marked && began.After(l.mark) {
			l.mark = time.Time{}
			l.firstAck <- time.Now()
		}
	case didNotRun:
		l.refused[e] = struct{}{}
	case unknown:
		l.unknown++
	}
}

// markGap makes the ledger report the next ack of a write of a group that
// begins after t.
func (l *ledger) markGap(group int, t time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mark, l.marked = t, group
}

// read records an answered read of a row that was acked before.
func (l *ledger) read(want, got string, own bool, c class, began time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	l.took(c.name, began)
	switch {
	case got == want:
	case got != "":
		l.wrong++
	case own:
		l.staleOwn++
	case c.fresh:
		l.staleFresh++
	}
}

// refusal counts a request that was refused or failed by its code, and notes how
// long a refusal took.
func (l *ledger) refusal(err error, began time.Time) {
	l.count(code(err))
	l.mu.Lock()
	defer l.mu.Unlock()
	if judge(err) == didNotRun {
		_ = l.refusedIn.RecordValue(time.Since(began).Microseconds())
	}
}

func (l *ledger) took(class string, began time.Time) {
	h := l.latencies[class]
	if h == nil {
		h = newHistogram()
		l.latencies[class] = h
	}
	_ = h.RecordValue(time.Since(began).Microseconds())
}

// count counts a refusal or failure by its code.
func (l *ledger) count(code string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refusals[code]++
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)
}

// check compares what callers were told with what a group holds: acked writes
// that are missing, and refused ones that are there.
func (l *ledger) check(group int, rows map[string]string) (lost, ran int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for e := range l.acked {
		if e.group == group && rows[e.key] != e.value {
			lost++
		}
	}
	for e := range l.refused {
		if _, ok := rows[e.key]; ok && e.group == group {
			ran++
		}
	}
	return lost, ran
}
