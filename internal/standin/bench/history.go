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

// outcome is the result of a write as its caller knows it.
type outcome int

const (
	acked outcome = iota
	didNotRun
	unknown
)

// writeRecord identifies a write by its group, key and value.
type writeRecord struct {
	group      int
	key, value string
}

// history records the responses that callers received, to be checked against the data
// at the end of a run.
type history struct {
	mu          sync.Mutex
	acked       map[writeRecord]struct{}
	refused     map[writeRecord]struct{}
	unknown     int
	errorCounts map[string]int
	reads       int
	// staleOwn counts the reads that missed the session's own write, staleFresh the
	// fresh reads that missed another session's acknowledged write, and wrongValues
	// the reads that returned another value than the one written.
	staleOwn, staleFresh, wrongValues int
	latencies                         map[string]*hdrhistogram.Histogram
	// refusalLatencies holds the latencies of refused requests.
	refusalLatencies *hdrhistogram.Histogram
	// firstAckAt receives the time when the first write of gapGroup that began after
	// gapBegan was acknowledged. gapBegan is zero outside a gap.
	gapBegan   time.Time
	gapGroup   int
	firstAckAt chan time.Time
}

func newHistory() *history {
	return &history{
		acked:            map[writeRecord]struct{}{},
		refused:          map[writeRecord]struct{}{},
		errorCounts:      map[string]int{},
		latencies:        map[string]*hdrhistogram.Histogram{},
		refusalLatencies: newHistogram(),
		firstAckAt:       make(chan time.Time, 1),
	}
}

// recordWrite records the outcome of a write.
func (h *history) recordWrite(w writeRecord, o outcome, class string, began time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch o {
	case acked:
		h.acked[w] = struct{}{}
		h.recordLatency(class, began)
		if !h.gapBegan.IsZero() && w.group == h.gapGroup && began.After(h.gapBegan) {
			h.gapBegan = time.Time{}
			h.firstAckAt <- time.Now()
		}
	case didNotRun:
		h.refused[w] = struct{}{}
	case unknown:
		h.unknown++
	}
}

// beginGap makes the history send on firstAckAt when the first write to a group that
// begins after t is acknowledged.
func (h *history) beginGap(group int, t time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.gapBegan, h.gapGroup = t, group
}

// recordRead records a successful read of a row whose write was acknowledged before.
func (h *history) recordRead(want, got string, own bool, c class, began time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reads++
	h.recordLatency(c.name, began)
	switch {
	case got == want:
	case got != "":
		h.wrongValues++
	case own:
		h.staleOwn++
	case c.fresh:
		h.staleFresh++
	}
}

// recordError counts a refused or failed request by its code, and records the latency
// of a refusal.
func (h *history) recordError(err error, began time.Time) {
	h.countError(errorCode(err))
	h.mu.Lock()
	defer h.mu.Unlock()
	if outcomeOf(err) == didNotRun {
		_ = h.refusalLatencies.RecordValue(time.Since(began).Microseconds())
	}
}

func (h *history) recordLatency(class string, began time.Time) {
	histogram := h.latencies[class]
	if histogram == nil {
		histogram = newHistogram()
		h.latencies[class] = histogram
	}
	_ = histogram.RecordValue(time.Since(began).Microseconds())
}

// countError counts a refusal or failure by its code.
func (h *history) countError(code string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.errorCounts[code]++
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)
}

// checkRows compares the recorded writes with the rows of a group. It counts the
// acknowledged writes that are missing and the refused writes that are present.
func (h *history) checkRows(group int, rows map[string]string) (lost, ran int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for w := range h.acked {
		if w.group == group && rows[w.key] != w.value {
			lost++
		}
	}
	for w := range h.refused {
		if _, ok := rows[w.key]; ok && w.group == group {
			ran++
		}
	}
	return lost, ran
}
