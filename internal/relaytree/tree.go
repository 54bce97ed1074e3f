// Package relaytree arranges the instances of one failure domain in trees, so
// that what a few relays learn from the platform reaches all others with a
// small, even load on each.
//
// The relays are the roots. Every other instance has one parent and at most
// Degree children. The order below the relays depends on a key, so that the
// work of inner nodes falls on different instances for different keys. Instances
// that see the same list build the same tree; where they do not, a node may be
// left out or served twice, which the callers repair.
package relaytree

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/topazrock/topazrock/internal/platform"
)

// Degree is the largest number of an instance's children.
const Degree = 4

// Tree holds the instances of one failure domain.
type Tree struct {
	relays []platform.Instance
	below  []platform.Instance
}

// New returns the tree of a failure domain. relays and live may hold instances
// of other failure domains, which are left out.
func New(domain string, relays, live []platform.Instance) Tree {
	var t Tree
	for _, i := range relays {
		if i.FailureDomain == domain {
			t.relays = append(t.relays, i)
		}
	}
	for _, i := range live {
		if i.FailureDomain == domain && !t.IsRelay(i.ID) {
			t.below = append(t.below, i)
		}
	}
	return t
}

// IsRelay reports whether the instance with an ID is a relay.
func (t Tree) IsRelay(id string) bool { return slices.ContainsFunc(t.relays, sameID(id)) }

// Relays returns the relays. The result must not be changed.
func (t Tree) Relays() []platform.Instance { return t.relays }

// Children returns the children of an instance for a key.
func (t Tree) Children(key, id string) []platform.Instance {
	if len(t.below) == 0 {
		return nil
	}
	order := t.order(key)
	position := slices.IndexFunc(order, sameID(id))
	if position < 0 {
		return nil
	}
	first := len(t.relays) + Degree*position
	return order[min(first, len(order)):min(first+Degree, len(order))]
}

// Parent returns the parent of an instance for a key; false for a relay and
// for an instance that is not in the tree.
func (t Tree) Parent(key, id string) (platform.Instance, bool) {
	order := t.order(key)
	position := slices.IndexFunc(order, sameID(id))
	if position < len(t.relays) {
		return platform.Instance{}, false
	}
	return order[(position-len(t.relays))/Degree], true
}

// order returns the relays and then the others as the key orders them.
func (t Tree) order(key string) []platform.Instance {
	type scored struct {
		score    uint64
		instance platform.Instance
	}
	list := make([]scored, len(t.below))
	for n, i := range t.below {
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

func sameID(id string) func(platform.Instance) bool {
	return func(i platform.Instance) bool { return i.ID == id }
}
