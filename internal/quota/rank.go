package quota

import "github.com/topazrock/topazrock/internal/document"

// Rank is the urgency of an operation: the priority of its class. Lower ranks are more urgent.
type Rank int

const (
	// MostUrgent and LeastUrgent are the bounds of Rank.
	MostUrgent  Rank = document.HighestPriority
	LeastUrgent Rank = document.LowestPriority
	// unstatedRank is the rank of operations whose instance does not state one, because its build
	// has no ranks or does not use them yet.
	unstatedRank Rank = (MostUrgent + LeastUrgent) / 2

	// rankSlots is the length of an array that is indexed by rank.
	rankSlots = LeastUrgent + 1
)

func (r Rank) valid() bool { return r >= MostUrgent && r <= LeastUrgent }

// rankCounts holds a count for each rank, indexed by rank.
type rankCounts [rankSlots]int

// total returns the sum of the counts.
func (c *rankCounts) total() int {
	sum := 0
	for _, n := range c {
		sum += n
	}
	return sum
}

// toMap returns the counts that are not zero, in the form of a message.
func (c *rankCounts) toMap() map[Rank]int {
	byRank := make(map[Rank]int)
	for rank, n := range c {
		if n != 0 {
			byRank[Rank(rank)] = n
		}
	}
	return byRank
}

// divideByRank divides a total among the ranks that a message states, most urgent first. What the
// message does not state belongs to rest. The total is binding: counts beyond it, negative counts
// and ranks out of range are left out, and valid is false.
func divideByRank(total int, stated map[Rank]int, rest Rank) (counts rankCounts, valid bool) {
	valid = true
	for rank, n := range stated {
		valid = valid && rank.valid() && n >= 0
	}
	remaining := max(total, 0)
	for rank := MostUrgent; rank <= LeastUrgent; rank++ {
		n := max(stated[rank], 0)
		valid = valid && n <= remaining
		counts[rank] = min(n, remaining)
		remaining -= counts[rank]
	}
	counts[rest] += remaining
	return counts, valid
}
