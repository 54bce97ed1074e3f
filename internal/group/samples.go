package group

import (
	"time"

	"github.com/topazrock/topazrock/internal/logpos"
)

const (
	// maxSamples is the maximum number of samples kept of one term.
	maxSamples = 128
	// sampleSpacing is the minimum time between two samples; barriers query the primary
	// more often than proofs of age require.
	sampleSpacing = 10 * time.Millisecond
)

// sample is the end of the primary's log at one moment, and the members known to hold it.
type sample struct {
	ticket Ticket
	mark   logpos.TermPosition
	// holders has one bit per member, by index.
	holders uint64
}

// samples holds the samples of the current term, oldest first.
type samples struct {
	list []sample
	// earlierTerms are the proven samples of earlier terms. Every later log holds what a
	// proven sample covers, so reads may use it until it is too old.
	earlierTerms []sample
}

// startTerm begins a new term. Samples that are not proven are dropped: positions of two
// terms are not comparable.
func (s *samples) startTerm(isQuorum func(set uint64) bool) {
	for _, e := range s.list {
		if isQuorum(e.holders) {
			s.earlierTerms = append(s.earlierTerms, e)
		}
	}
	if n := len(s.earlierTerms); n > maxSamples {
		s.earlierTerms = append(s.earlierTerms[:0], s.earlierTerms[n-maxSamples:]...)
	}
	s.list = s.list[:0]
}

// add records the log position that the primary, given by its index, reported, unless a
// later or a too recent sample exists.
func (s *samples) add(index int, t Ticket, m logpos.TermPosition) {
	if n := len(s.list); n > 0 {
		last := s.list[n-1].ticket
		if !t.After(last) || t.at.Sub(last.at) < sampleSpacing {
			return
		}
	}
	if len(s.list) == maxSamples {
		s.thin()
	}
	s.list = append(s.list, sample{ticket: t, mark: m, holders: 1 << index})
}

// thin drops every other sample of the older half. A replica that is far behind can still
// match an older sample, with a coarser result.
func (s *samples) thin() {
	kept := s.list[:0]
	for i, e := range s.list {
		if i >= maxSamples/2 || i%2 == 0 {
			kept = append(kept, e)
		}
	}
	s.list = kept
}

// markHeld records that the member holds every sample that was requested before t and lies
// at or below p.
func (s *samples) markHeld(index int, t Ticket, p logpos.Position) {
	for i := range s.list {
		e := &s.list[i]
		if t.After(e.ticket) && p >= e.mark.Position {
			e.holders |= 1 << index
		}
	}
}

// newestHeldBy returns the latest sample that the member and a quorum hold.
func (s *samples) newestHeldBy(index int, isQuorum func(set uint64) bool) (time.Time, logpos.Position, bool) {
	for i := len(s.list) - 1; i >= 0; i-- {
		e := s.list[i]
		if e.holders&(1<<index) != 0 && isQuorum(e.holders) {
			return e.ticket.at, e.mark.Position, true
		}
	}
	return time.Time{}, 0, false
}

// oldestProven returns the oldest sample held by a quorum that was requested at or after
// notBefore.
func (s *samples) oldestProven(notBefore time.Time, isQuorum func(set uint64) bool) (logpos.TermPosition, bool) {
	for _, list := range [][]sample{s.earlierTerms, s.list} {
		for i := range list {
			e := &list[i]
			if isQuorum(e.holders) && !e.ticket.at.Before(notBefore) {
				return e.mark, true
			}
		}
	}
	return logpos.TermPosition{}, false
}

// removeHolder removes one member from the holders of all samples.
func (s *samples) removeHolder(index int) {
	for _, list := range [][]sample{s.earlierTerms, s.list} {
		for i := range list {
			list[i].holders &^= 1 << index
		}
	}
}
