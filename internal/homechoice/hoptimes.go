package homechoice

import "time"

const (
	// hopWeight is the weight of the newest round trip in the average.
	hopWeight = 1.0 / 32
	// maxHopTime bounds the round trips that are averaged: a longer one comes from a failure or a
	// pause and not from the distance.
	maxHopTime = 20 * time.Millisecond
)

// hopTimes averages the time of round trips to homes in this instance's failure domain and in
// others.
type hopTimes struct{ local, remote time.Duration }

// record adds a round trip that took elapsed, of which the home took spent. It returns false if the
// home reports more time than has passed.
func (h *hopTimes) record(near bool, elapsed, spent time.Duration) bool {
	if spent > elapsed {
		return false
	}
	average := &h.remote
	if near {
		average = &h.local
	}
	trip := min(elapsed-spent, maxHopTime)
	if *average == 0 {
		*average = trip
	}
	*average += time.Duration(hopWeight * float64(trip-*average))
	return true
}

// additional returns how much longer a round trip to another failure domain takes.
func (h *hopTimes) additional() time.Duration {
	if h.remote == 0 {
		return defaultHopTime
	}
	return max(h.remote-h.local, 0)
}
