// Package waitlist provides building blocks for owners of a bounded resource: a List keeps
// waiters in the order in which they are to be served, and a Signal wakes goroutines that
// wait for a condition. Both are guarded by their owner's lock.
package waitlist

import "slices"

// List holds items in the order of its less function. Items that compare equal keep the
// order in which they were added.
type List[T comparable] struct {
	less  func(a, b T) bool
	items []T
}

// New returns an empty List ordered by less.
func New[T comparable](less func(a, b T) bool) List[T] {
	return List[T]{less: less}
}

// Len returns the number of items.
func (l *List[T]) Len() int { return len(l.items) }

// Items returns the items in order. The slice is valid until the next change.
func (l *List[T]) Items() []T { return l.items }

// Add inserts item at its position in the order.
func (l *List[T]) Add(item T) {
	i, _ := slices.BinarySearchFunc(l.items, item, func(a, b T) int {
		if l.less(b, a) {
			return 1
		}
		return -1
	})
	l.items = slices.Insert(l.items, i, item)
}

// Remove removes item and reports whether the list contained it.
func (l *List[T]) Remove(item T) bool {
	i := slices.Index(l.items, item)
	if i < 0 {
		return false
	}
	l.items = slices.Delete(l.items, i, i+1)
	return true
}

// TakeWhere removes and returns the first n items for which match returns true, in order.
// It calls match in order, at most once for each item, and stops calling it when n items
// have matched.
func (l *List[T]) TakeWhere(n int, match func(T) bool) []T {
	var taken []T
	l.items = slices.DeleteFunc(l.items, func(item T) bool {
		if len(taken) == n || !match(item) {
			return false
		}
		taken = append(taken, item)
		return true
	})
	return taken
}
