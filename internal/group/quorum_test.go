package group

import "testing"

// memberList is a group's members as one instance may see them.
type memberList []quorumMember

// majorityOnly removes the rule for replacements from a quorum.
func majorityOnly(q quorum) quorum {
	q.stableNeeded = 0
	return q
}

// listedOnly removes members that the list does not contain from a set.
func (l memberList) listedOnly(set uint64) uint64 {
	var listed uint64
	for _, s := range l {
		listed |= s.bit
	}
	return set & listed
}

// sequentialReplacements returns every view of a group whose members are replaced one
// after the other, each by a successor in the same failure domain: before, with the
// successor, with the old member leaving, and without it.
func sequentialReplacements(domains []string) []memberList {
	var current memberList
	next := 0
	add := func(v memberList, domain string) memberList {
		next++
		return append(append(memberList(nil), v...), quorumMember{bit: 1 << (next - 1), failureDomain: domain})
	}
	for _, d := range domains {
		current = add(current, d)
	}
	views := []memberList{current}
	for i := range domains {
		joined := add(current, domains[i])
		leaving := append(memberList(nil), joined...)
		leaving[0].leaving = true
		// A view may also show the leaving member before its successor.
		alone := append(memberList(nil), current...)
		alone[0].leaving = true
		current = append(memberList(nil), joined[1:]...)
		views = append(views, alone, joined, leaving, current)
	}
	return views
}

// simultaneousReplacements returns every view of a group in which two members are replaced
// at the same time.
func simultaneousReplacements(domains []string, first, second int) []memberList {
	var old memberList
	for i, d := range domains {
		old = append(old, quorumMember{bit: 1 << i, failureDomain: d})
	}
	views := []memberList{old}
	for _, leaving := range [][2]bool{{false, false}, {true, false}, {false, true}, {true, true}} {
		joined := append(memberList(nil), old...)
		for k, i := range []int{first, second} {
			joined[i].leaving = leaving[k]
			joined = append(joined, quorumMember{bit: 1 << (len(old) + k), failureDomain: domains[i]})
		}
		views = append(views, joined)
	}
	var after memberList
	for _, s := range views[len(views)-1] {
		if !s.leaving {
			after = append(after, s)
		}
	}
	return append(views, after)
}

// Members of a group are replaced one after the other or two at a time, and instances see
// the steps at different times. Wherever the majorities of two views intersect, all their
// quorums must too: a set that the rule for replacements adds is never disjoint from a set
// with which another instance fences or confirms.
func TestQuorumsOfChangingGroupsIntersect(t *testing.T) {
	for name, domains := range map[string][]string{
		"three domains":               {"a", "b", "c"},
		"two members in one domain":   {"a", "a", "b"},
		"all in one domain":           {"a", "a", "a"},
		"five domains":                {"a", "b", "c", "d", "e"},
		"five members, three domains": {"a", "b", "c", "a", "b"},
	} {
		histories := [][]memberList{sequentialReplacements(domains)}
		for second := range domains {
			for first := range second {
				histories = append(histories, simultaneousReplacements(domains, first, second))
			}
		}
		for _, views := range histories {
			checkHistory(t, name, views, 2*len(domains))
		}
	}
}

func checkHistory(t *testing.T, name string, views []memberList, members int) {
	t.Helper()
	for i, v := range views {
		q := newQuorum(v, 3)
		for j, u := range views[:i+1] {
			r := newQuorum(u, 3)
			if v.intersects(u, majorityOnly(q), majorityOnly(r), members) && !v.intersects(u, q, r, members) {
				t.Errorf("%s: views %d %+v and %d %+v: two quorums share no member", name, i, v, j, u)
			}
		}
	}
}

// intersects reports whether every set that is a quorum under q, among the members of v,
// intersects every set that is a quorum under r, among those of u. Bits are below n.
func (l memberList) intersects(other memberList, q, r quorum, n int) bool {
	var first, second []uint64
	for set := uint64(0); set < 1<<n; set++ {
		if l.listedOnly(set) == set && q.satisfiedBy(set) {
			first = append(first, set)
		}
		if other.listedOnly(set) == set && r.satisfiedBy(set) {
			second = append(second, set)
		}
	}
	for _, a := range first {
		for _, b := range second {
			if a&b == 0 {
				return false
			}
		}
	}
	return true
}

// A group of four loses one member permanently. Two instances that see different members
// leave must not count over two halves, so only a majority of all four is sufficient.
func TestLeavingMemberWithoutSuccessorChangesNothing(t *testing.T) {
	for leaving := range 4 {
		var members []quorumMember
		for i := range 4 {
			members = append(members, quorumMember{bit: 1 << i, failureDomain: string(rune('a' + i)), leaving: i == leaving})
		}
		for set := uint64(0); set < 1<<4; set++ {
			q := newQuorum(members, 3)
			if q.satisfiedBy(set) != majorityOnly(q).satisfiedBy(set) {
				t.Errorf("member %d leaves: set %b is evaluated differently", leaving, set)
			}
		}
	}
}
