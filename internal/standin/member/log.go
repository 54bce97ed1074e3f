package member

import (
	"slices"
	"sort"
	"time"

	"github.com/topazrock/topazrock/internal/logpos"
)

// recordOverhead is the size of a record without writes, in bytes.
const recordOverhead = 32

// write is the change of one row in a record.
type write struct {
	Row     row
	Value   string
	Deleted bool
}

// record is one committed transaction, or the start of a term if it has no writes.
type record struct {
	Mark   logpos.TermPosition
	At     time.Time
	Writes []write
}

// recordLog is an in-memory replicated log.
type recordLog struct{ records []record }

func (l *recordLog) lastMark() logpos.TermPosition {
	if len(l.records) == 0 {
		return logpos.TermPosition{}
	}
	return l.records[len(l.records)-1].Mark
}

// newRecord builds the record that follows the last one. It does not append it.
func (l *recordLog) newRecord(term logpos.Term, writes []write) record {
	size := recordOverhead
	for _, w := range writes {
		size += len(w.Row.Key) + len(w.Value)
	}
	position := l.lastMark().Position + logpos.Position(size)
	return record{Mark: logpos.TermPosition{Term: term, Position: position}, At: time.Now(), Writes: writes}
}

// recordsAfter returns a copy of the records that end after a position.
func (l *recordLog) recordsAfter(p logpos.Position) []record {
	return slices.Clone(l.records[l.countUpTo(p):])
}

// countUpTo returns how many records end at or before a position.
func (l *recordLog) countUpTo(p logpos.Position) int {
	return sort.Search(len(l.records), func(i int) bool { return l.records[i].Mark.Position > p })
}

// truncate drops the records that end after a position.
func (l *recordLog) truncate(p logpos.Position) {
	l.records = slices.Clip(l.records[:l.countUpTo(p)])
}

// lastMarks returns the last mark of each term, in ascending order.
func (l *recordLog) lastMarks() []logpos.TermPosition {
	var marks []logpos.TermPosition
	for _, r := range l.records {
		if k := len(marks); k > 0 && marks[k-1].Term == r.Mark.Term {
			marks[k-1] = r.Mark
		} else {
			marks = append(marks, r.Mark)
		}
	}
	return marks
}

// commonPosition returns the end of the common prefix of this log and a log with
// the given last marks. The records of a term come from one primary in one order,
// so two logs that share a term agree up to the lower of their last positions in
// that term.
func (l *recordLog) commonPosition(otherMarks []logpos.TermPosition) logpos.Position {
	ownMarks := l.lastMarks()
	for i := len(otherMarks) - 1; i >= 0; i-- {
		for _, ownMark := range ownMarks {
			if ownMark.Term == otherMarks[i].Term {
				return min(ownMark.Position, otherMarks[i].Position)
			}
		}
	}
	return 0
}
