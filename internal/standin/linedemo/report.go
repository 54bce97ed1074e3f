package linedemo

import (
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"
)

// Report is what the callers were told, and what was found at the end.
type Report struct {
	Acknowledged int `json:"acknowledged"`
	Refused      int `json:"refused"`
	Unknown      int `json:"unknown"`
	Reads        int `json:"reads"`
	// Lost counts acknowledged writes that were not there at the end, Stale reads
	// that missed an acknowledged write.
	Lost  int `json:"lost"`
	Stale int `json:"stale"`
	// GapMS is the time from the kill to the first acknowledgement behind it, in
	// milliseconds; -1 if there was none.
	GapMS int64 `json:"gap_ms"`

	mu sync.Mutex
	// acknowledged holds the moments of acknowledgements, oldest first.
	acknowledged []time.Time
}

// add changes one counter.
func (r *Report) add(counter *int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*counter++
}

// acknowledge notes an acknowledged write.
func (r *Report) acknowledge() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Acknowledged++
	r.acknowledged = append(r.acknowledged, time.Now())
}

// quiet is how long after a kill answers may still be on their way.
const quiet = 50 * time.Millisecond

// firstWriteAfter is the time from a moment to the first acknowledgement behind it
// that was not on its way already.
func (r *Report) firstWriteAfter(moment time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.acknowledged {
		if t.Sub(moment) > quiet {
			return t.Sub(moment)
		}
	}
	return -time.Millisecond
}

// Failed reports whether a promise was broken.
func (r *Report) Failed() bool { return r.Lost > 0 || r.Stale > 0 || r.GapMS < 0 }

// Words says the same for people.
func (r *Report) Words() string {
	return fmt.Sprintf("%d writes were acknowledged, %d refused (they did not run) and %d ended unknown; %d reads.\n"+
		"Writes went on %d ms after the kill. Acknowledged writes that are lost: %d. Stale reads: %d.\n",
		r.Acknowledged, r.Refused, r.Unknown, r.Reads, r.GapMS, r.Lost, r.Stale)
}

// Write writes the report as one JSON object on a line.
func (r *Report) Write(w io.Writer) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return json.NewEncoder(w).Encode(r)
}
