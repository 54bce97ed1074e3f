package membership

import (
	"slices"

	"github.com/topazrock/topazrock/internal/platform"
)

// maxReuseChanges is the largest number of joined and left instances for which the known homes
// are checked against each change; above it, all homes are computed again.
const maxReuseChanges = 256

// reuseHomes copies from an older snapshot the homes that the changes since then do not affect.
// Computing the homes of one group hashes every instance; with thousands of instances and
// groups that takes about a second of CPU time, and an instance joins or leaves every minute. While
// a fleet starts, groups become known one after the other, each with its own placement.
func (s *snapshot) reuseHomes(old *snapshot) {
	if old == nil || old.self != s.self {
		return
	}
	joined, left := diffInstances(old.live, s.live)
	if len(joined)+len(left) > maxReuseChanges {
		return
	}
	sameCapable := slices.EqualFunc(old.capable, s.capable, slices.Equal[[]platform.Instance])
	old.mu.Lock()
	defer old.mu.Unlock()
	for group, h := range old.homes {
		p := s.placements.forGroup(group)
		switch {
		case !old.placements.forGroup(group).equal(p):
		case p.Capable && sameCapable, !p.Capable && !homesChanged(group, h, joined, left, p):
			s.homes[group] = h
		}
	}
}

func homesChanged(group string, h *homeSet, joined, left []platform.Instance, p Placement) bool {
	for _, i := range left {
		if h.contains(i.ID) {
			return true
		}
	}
	for _, i := range joined {
		if h.admitsJoining(group, i, p) {
			return true
		}
	}
	return false
}

// diffInstances compares two lists ordered by ID. An instance whose entry changed is returned
// both as left and as joined.
func diffInstances(old, next []platform.Instance) (joined, left []platform.Instance) {
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
