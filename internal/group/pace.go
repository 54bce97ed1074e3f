package group

import "time"

const (
	// paceMemory is how many answers a pace remembers.
	paceMemory = 8
	// paceFactor is how many times the slowest of them a bound allows.
	paceFactor = 3
	// paceLimit is how many times the usual bound it allows at most, and
	// paceStart how many times before the first answer.
	paceLimit = 20
	paceStart = 4
)

// pace bounds the questions to a member by how long its last answers took. A member
// that is far away or under load answers late and steadily; with a fixed bound
// it would be taken for lost, replaced, and its successor after it.
type pace struct {
	last [paceMemory]time.Duration
	next int
	seen bool
}

// took notes how long a good answer took.
func (p *pace) took(d time.Duration) {
	p.last[p.next] = d
	p.next = (p.next + 1) % paceMemory
	p.seen = true
}

// bound returns how long the next answer may take, where usual is the least.
func (p *pace) bound(usual time.Duration) time.Duration {
	if !p.seen {
		return paceStart * usual
	}
	slowest := time.Duration(0)
	for _, d := range p.last {
		slowest = max(slowest, d)
	}
	return min(max(usual, paceFactor*slowest), paceLimit*usual)
}

// usual returns how long the fastest of the last answers took: the distance to
// the member, without the load of a moment.
func (p *pace) usual() time.Duration {
	fastest := p.last[0]
	for _, d := range p.last {
		if d > 0 && (fastest == 0 || d < fastest) {
			fastest = d
		}
	}
	return fastest
}
