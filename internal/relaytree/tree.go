// Package relaytree arranges the instances of one failure domain in trees, so that data that a
// few relays read from the platform reaches all other instances with a small, even load on
// each.
//
// The relays are the roots. Every other instance has one parent, and every instance has at most
// Degree children. The order of the instances below the relays depends on a key, so that
// different instances are inner nodes for different keys. Instances with the same list compute
// the same tree; where their lists differ, a node may be skipped or served twice, for which the
// users of this package must compensate.
package relaytree

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/topazrock/topazrock/internal/platform"
)

// Degree is the maximum number of children of an instance.
const Degree = 4

// Tree holds the instances of one failure domain: the relays, and the nodes below them.
type Tree struct {
	relays []platform.Instance
	nodes  []platform.Instance
}

// New returns the tree of a failure domain. relays and live may contain instances of other
// failure domains, which are ignored.
func New(domain string, relays, live []platform.Instance) Tree {
	var t Tree
	for _, i := range relays {
		if i.FailureDomain == domain {
			t.relays = append(t.relays, i)
		}
	}
	for _, i := range live {
		if i.FailureDomain == domain && !t.IsRelay(i.ID) {
			t.nodes = append(t.nodes, i)
		}
	}
	return t
}

// IsRelay reports whether the instance with an ID is a relay.
func (t Tree) IsRelay(id string) bool { return slices.ContainsFunc(t.relays, hasID(id)) }

// Relays returns the relays. The result must not be modified.
func (t Tree) Relays() []platform.Instance { return t.relays }

// Children returns the children of an instance in the tree of a key.
func (t Tree) Children(key, id string) []platform.Instance {
	if len(t.nodes) == 0 {
		return nil
	}
	order := t.ordered(key)
	position := slices.IndexFunc(order, hasID(id))
	if position < 0 {
		return nil
	}
	first := len(t.relays) + Degree*position
	return order[min(first, len(order)):min(first+Degree, len(order))]
}

// Parent returns the parent of an instance in the tree of a key, or false for a relay and for
// an instance that is not in the tree.
func (t Tree) Parent(key, id string) (platform.Instance, bool) {
	order := t.ordered(key)
	position := slices.IndexFunc(order, hasID(id))
	if position < len(t.relays) {
		return platform.Instance{}, false
	}
	return order[(position-len(t.relays))/Degree], true
}

// ordered returns the relays followed by the other instances in the order of a key.
func (t Tree) ordered(key string) []platform.Instance {
	type scored struct {
		score    uint64
		instance platform.Instance
	}
	list := make([]scored, len(t.nodes))
	for n, i := range t.nodes {
		list[n] = scored{score: xxhash.Sum64String(key + "\x00" + i.ID), instance: i}
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.instance.ID, b.instance.ID))
	})
	order := slices.Clone(t.relays)
	for _, s := range list {
		order = append(order, s.instance)
	}
	return order
}

func hasID(id string) func(platform.Instance) bool {
	return func(i platform.Instance) bool { return i.ID == id }
}
