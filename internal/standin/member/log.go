package member

import (
	"slices"
	"sort"
	"time"

	"github.com/topazrock/topazrock/internal/logpos"
)

// recordOverhead is the size of a record with no writes, in bytes.
const recordOverhead = 32

// write is one changed row of a record.
type write struct {
	Row     row
	Value   string
	Deleted bool
}

// record is one commit, or the start of a term when it has no writes.
type record struct {
	Mark   logpos.Mark
	At     time.Time
	Writes []write
}

// recordLog is a replicated log in memory.
type recordLog struct{ records []record }

func (l *recordLog) last() logpos.Mark {
	if len(l.records) == 0 {
		return logpos.Mark{}
	}
	return l.records[len(l.records)-1].Mark
}

// next makes the record that comes after the last one.
func (l *recordLog) next(term logpos.Term, writes []write) record {
	size := recordOverhead
	for _, w := range writes {
		size += len(w.Row.Key) + len(w.Value)
	}
	end := l.last().Position + logpos.Position(size)
	return record{Mark: logpos.Mark{Term: term, Position: end}, At: time.Now(), Writes: writes}
}

// after returns a copy of the records past a position.
func (l *recordLog) after(p logpos.Position) []record {
	return slices.Clone(l.records[l.index(p):])
}

// index returns how many records end at or before a position.
func (l *recordLog) index(p logpos.Position) int {
	return sort.Search(len(l.records), func(i int) bool { return l.records[i].Mark.Position > p })
}

// truncate drops the records past a position.
func (l *recordLog) truncate(p logpos.Position) {
	l.records = slices.Clip(l.records[:l.index(p)])
}

// ends returns the last mark of each term, in ascending order.
func (l *recordLog) ends() []logpos.Mark {
	var ends []logpos.Mark
	for _, r := range l.records {
		if k := len(ends); k > 0 && ends[k-1].Term == r.Mark.Term {
			ends[k-1] = r.Mark
		} else {
			ends = append(ends, r.Mark)
		}
	}
	return ends
}

// common returns where this log and one with the given term ends part. The
// records of a term come from one primary in one order, so two logs that share
// a term agree up to the shorter of its two runs.
func (l *recordLog) common(ends []logpos.Mark) logpos.Position {
	own := l.ends()
	for i := len(ends) - 1; i >= 0; i-- {
		for _, o := range own {
			if o.Term == ends[i].Term {
				return min(o.Position, ends[i].Position)
			}
		}
	}
	return 0
}
