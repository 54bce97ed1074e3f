package membership

import "github.com/topazrock/topazrock/internal/platform"

// maxCarried is the largest number of joined and left instances for which the
// homes found before are examined one by one; past it they are found anew.
const maxCarried = 256

// carry takes over from an older view the homes that its changes do not touch.
// Finding the homes of one group hashes every instance; with thousands of
// instances and groups that is about a second of processor time, and an
// instance joins or leaves every minute.
func (s *snapshot) carry(old *snapshot) {
	if old == nil || old.self != s.self || !old.counts.same(s.counts) {
		return
	}
	joined, left := difference(old.live, s.live)
	if len(joined)+len(left) > maxCarried {
		return
	}
	old.mu.Lock()
	defer old.mu.Unlock()
	for group, h := range old.homes {
		if !touched(group, h, joined, left, s.counts.of(group)) {
			s.homes[group] = h
		}
	}
}

func touched(group string, h *homeSet, joined, left []platform.Instance, perFailureDomain int) bool {
	for _, i := range left {
		if h.contains(i.ID) {
			return true
		}
	}
	for _, i := range joined {
		if h.admits(group, i, perFailureDomain) {
			return true
		}
	}
	return false
}

// difference compares two lists ordered by ID. An instance whose entry changed
// counts as left and joined.
func difference(old, next []platform.Instance) (joined, left []platform.Instance) {
	for len(old) > 0 || len(next) > 0 {
		switch {
		case len(next) == 0 || (len(old) > 0 && old[0].ID < next[0].ID):
			left, old = append(left, old[0]), old[1:]
		case len(old) == 0 || next[0].ID < old[0].ID:
			joined, next = append(joined, next[0]), next[1:]
		default:
			if old[0] != next[0] {
				left, joined = append(left, old[0]), append(joined, next[0])
			}
			old, next = old[1:], next[1:]
		}
	}
	return joined, left
}
