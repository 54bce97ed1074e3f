package pool

import "slices"

// queue holds the waiters in the order in which they are served.
type queue struct {
	waiters []*waiter
}

// add puts w at its place.
func (q *queue) add(w *waiter) {
	i, _ := slices.BinarySearchFunc(q.waiters, w, func(a, b *waiter) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	q.waiters = slices.Insert(q.waiters, i, w)
}

// remove takes w out and reports whether it was there.
func (q *queue) remove(w *waiter) bool {
	i := slices.Index(q.waiters, w)
	if i < 0 {
		return false
	}
	q.waiters = slices.Delete(q.waiters, i, i+1)
	return true
}

// takeFor removes and returns the waiters for an address, at most n of them.
func (q *queue) takeFor(address string, n int) []*waiter {
	var taken []*waiter
	q.waiters = slices.DeleteFunc(q.waiters, func(w *waiter) bool {
		if w.address != address || len(taken) == n {
			return false
		}
		taken = append(taken, w)
		return true
	})
	return taken
}
