package admission

import (
	"math"
	"time"
)

// fairness holds the accounts of the workspaces that compete for a gate. It does no I/O and is
// guarded by Controller.mu.
//
// Accounts begin when a first request waits, and are dropped when the next one does after none
// waited: while nobody waits, no workspace takes anything from another. They are therefore at
// most as many as the workspaces that sent requests meanwhile.
type fairness struct {
	shares map[string]*share
	// virtualTime is the least that a waiting workspace has used. It does not
	// fall, and the account of a workspace that begins to wait is at least that, so that a
	// pause earns no credit.
	virtualTime float64
	// meanCost is the moving average of the costs charged.
	meanCost time.Duration
	// credit is the service time that is due to the workspace that has used least.
	credit time.Duration
}

// leastUsedDivisor is the inverse of the part of the service time that goes to the workspace
// that has used least, whatever its classes. It keeps workspaces without urgent classes alive
// beside the urgent classes of others, which lose no more than that part.
const leastUsedDivisor = 8

// reset ends all accounts.
func (f *fairness) reset() {
	f.shares = make(map[string]*share)
	f.virtualTime = 0
}

// share returns the account of a workspace and creates it on first use.
func (f *fairness) share(workspace string, weight int) *share {
	s, ok := f.shares[workspace]
	if !ok {
		s = &share{}
		f.shares[workspace] = s
	}
	s.weight = float64(weight)
	return s
}

// addWaiter counts a request that begins to wait.
func (f *fairness) addWaiter(s *share) {
	if s.waiting == 0 {
		s.used = max(s.used, f.virtualTime)
	}
	s.waiting++
	f.advance()
}

// removeWaiter counts a request that no longer waits.
func (f *fairness) removeWaiter(s *share) {
	s.waiting--
	f.advance()
}

// charge adds the cost of a slot to an account.
func (f *fairness) charge(s *share, cost time.Duration) {
	s.charge(cost)
	f.meanCost = movingAverage(f.meanCost, cost)
	f.credit += cost / leastUsedDivisor
	f.advance()
}

// spendCredit reports whether the credit pays for a slot of the given cost, and spends it.
func (f *fairness) spendCredit(cost time.Duration) bool {
	if f.credit < cost {
		return false
	}
	f.credit -= cost
	return true
}

// advance sets the virtual time to the least that a waiting workspace has used.
func (f *fairness) advance() {
	least := math.Inf(1)
	for _, s := range f.shares {
		if s.waiting > 0 {
			least = min(least, s.used)
		}
	}
	if !math.IsInf(least, 1) {
		f.virtualTime = max(f.virtualTime, least)
	}
}

// isAbove reports whether a workspace is more than one average service ahead of the one that
// has used least.
func (f *fairness) isAbove(s *share) bool {
	return s.used-f.virtualTime > float64(f.meanCost)/s.weight
}

// totalWeight returns the sum of the weights of the workspaces that wait.
func (f *fairness) totalWeight() float64 {
	var sum float64
	for _, s := range f.shares {
		if s.waiting > 0 {
			sum += s.weight
		}
	}
	return sum
}
