package shares

// Reserve is the part of a member's connections that the homes of its group leave free in steady
// state. Instances that lose power close no connection, and the member counts the lost connections
// for a while; the restarted homes open their connections within the reserve until then. The zero
// value reserves nothing.
type Reserve struct {
	// Connections is the number of connections that all homes together leave free at a member.
	Connections int
	// PerHome is what each home may open at a member while lost connections may still be counted,
	// including its control connections.
	PerHome int
}

// minSteadyPerHome is the minimum number of pooled connections that a home keeps in steady state.
// With two, one long statement does not block all others.
const minSteadyPerHome = 2

// NewReserve returns the reserve of a member that accepts total connections and runs slots
// statements concurrently. Each of the homes needs its control connections, and enough pooled
// connections that all homes together keep the slots busy. If that leaves a home fewer than
// minSteadyPerHome connections in steady state, the slots are left out of account; if it still
// does, nothing is reserved. Negative numbers reserve nothing.
func NewReserve(total, slots, homes, control int) Reserve {
	if homes <= 0 || control < 0 {
		return Reserve{}
	}
	for _, pooled := range []int{(slots + homes - 1) / homes, minPerMember} {
		perHome := control + max(pooled, minPerMember)
		if homes <= total/(perHome+control+minSteadyPerHome) {
			return Reserve{Connections: homes * perHome, PerHome: perHome}
		}
	}
	return Reserve{}
}

// hasRoom reports whether a member that counts open connections has room for a home that grows by
// growth connections, without use of the reserve.
func (r Reserve) hasRoom(total, open, growth int) bool {
	return open <= total-r.Connections-growth
}
