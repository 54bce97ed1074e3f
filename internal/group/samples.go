package group

import (
	"math/bits"
	"time"

	"github.com/topazrock/topazrock/internal/logpos"
)

const (
	// maxSamples bounds the samples kept of one term.
	maxSamples = 128
	// sampleSpacing is the least time between two samples; barriers ask the
	// primary more often than proofs of age need.
	sampleSpacing = 10 * time.Millisecond
)

// sample is the primary's position at a moment, and who is known to hold it.
type sample struct {
	ticket   Ticket
	position logpos.Position
	// holders has one bit a member, by index.
	holders uint64
}

// samples are the samples of one term, oldest first.
type samples struct {
	list []sample
}

func (s *samples) reset() { s.list = s.list[:0] }

// add keeps a sample unless a later one is there already.
func (s *samples) add(t Ticket, p logpos.Position) {
	if n := len(s.list); n > 0 {
		last := s.list[n-1].ticket
		if !t.After(last) || t.at.Sub(last.at) < sampleSpacing {
			return
		}
	}
	if len(s.list) == maxSamples {
		s.thin()
	}
	s.list = append(s.list, sample{ticket: t, position: p})
}

// thin drops every other sample of the older half. A replica far behind then
// still finds a sample it has reached, only a coarser one.
func (s *samples) thin() {
	kept := s.list[:0]
	for i, e := range s.list {
		if i >= maxSamples/2 || i%2 == 0 {
			kept = append(kept, e)
		}
	}
	s.list = kept
}

// hold marks that the member has reached every sample that was asked before t
// and lies at or below p.
func (s *samples) hold(index int, t Ticket, p logpos.Position) {
	for i := range s.list {
		e := &s.list[i]
		if t.After(e.ticket) && p >= e.position {
			e.holders |= 1 << index
		}
	}
}

// newest returns the latest sample that the member holds and that quorum
// replicas hold.
func (s *samples) newest(index, quorum int) (time.Time, logpos.Position, bool) {
	for i := len(s.list) - 1; i >= 0; i-- {
		e := s.list[i]
		if e.holders&(1<<index) != 0 && bits.OnesCount64(e.holders) >= quorum {
			return e.ticket.at, e.position, true
		}
	}
	return time.Time{}, 0, false
}
