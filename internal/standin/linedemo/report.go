package linedemo

import (
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"
)

// Report counts the outcomes of the callers' requests and the violations found.
type Report struct {
	Acknowledged int `json:"acknowledged"`
	Refused      int `json:"refused"`
	Unknown      int `json:"unknown"`
	Reads        int `json:"reads"`
	// Lost counts acknowledged writes that were missing at the end, Stale reads that
	// returned a value older than an acknowledged write.
	Lost  int `json:"lost"`
	Stale int `json:"stale"`
	// GapMS is the time from the kill to the first acknowledgement of a later write, in
	// milliseconds; -1 if there was none.
	GapMS int64 `json:"gap_ms"`

	mu sync.Mutex
	// ackTimes holds the times of acknowledgements, oldest first.
	ackTimes []time.Time
}

// increment adds one to a counter of the report.
func (r *Report) increment(counter *int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*counter++
}

// recordAcknowledged records an acknowledged write and its time.
func (r *Report) recordAcknowledged() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Acknowledged++
	r.ackTimes = append(r.ackTimes, time.Now())
}

// inFlightWindow is the time after the kill in which responses that were sent before
// the kill can still arrive.
const inFlightWindow = 50 * time.Millisecond

// gapAfter returns the time from a moment to the first later acknowledgement that was
// not already in flight, or -1 ms if there was none.
func (r *Report) gapAfter(moment time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.ackTimes {
		if t.Sub(moment) > inFlightWindow {
			return t.Sub(moment)
		}
	}
	return -time.Millisecond
}

// Failed reports whether a write was lost, a read was stale, or writes never resumed.
func (r *Report) Failed() bool { return r.Lost > 0 || r.Stale > 0 || r.GapMS < 0 }

// Summary returns the report as text.
func (r *Report) Summary() string {
	return fmt.Sprintf("%d writes were acknowledged, %d refused (they did not run) and %d ended unknown; %d reads.\n"+
		"Writes went on %d ms after the kill. Acknowledged writes that are lost: %d. Stale reads: %d.\n",
		r.Acknowledged, r.Refused, r.Unknown, r.Reads, r.GapMS, r.Lost, r.Stale)
}

// Write writes the report as a JSON object on one line.
func (r *Report) Write(w io.Writer) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return json.NewEncoder(w).Encode(r)
}
