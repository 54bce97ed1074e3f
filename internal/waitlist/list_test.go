package waitlist

import (
	"testing"

	"github.com/matryer/is"
)

type item struct{ key, serial int }

func TestOrderIsStable(t *testing.T) {
	is := is.New(t)
	l := New(func(a, b item) bool { return a.key < b.key })
	for i, key := range []int{2, 1, 2, 1} {
		l.Add(item{key, i})
	}
	is.Equal(l.Items(), []item{{1, 1}, {1, 3}, {2, 0}, {2, 2}})
	is.True(l.Remove(item{1, 3}))
	is.True(!l.Remove(item{1, 3}))
	taken := l.TakeWhere(1, func(i item) bool { return i.key == 2 })
	is.Equal(taken, []item{{2, 0}})
	is.Equal(l.Items(), []item{{1, 1}, {2, 2}})
}
