package platform

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"

	"github.com/topazrock/topazrock/internal/platform"
)

// pageSize is how many objects one answer of a list holds.
const pageSize = 500

// object is an object as the platform publishes it.
type object struct {
	Meta meta            `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

type meta struct {
	Name     string `json:"Name"`
	Revision int64  `json:"Revision"`
}

// objectPage is the body of a list.
type objectPage struct {
	Items         []object `json:"items"`
	HasMore       bool     `json:"HasMore"`
	StoreRevision int64    `json:"StoreRevision"`
}

// eventList is the body of a watch.
type eventList struct {
	Events        []event `json:"events"`
	StoreRevision int64   `json:"StoreRevision"`
}

type event struct {
	Object  object `json:"Object"`
	Removed bool   `json:"Removed"`
}

// spec is the specification of an object of the product's own kinds.
type spec struct {
	Value json.RawMessage `json:"value,omitempty"`
	Bytes []byte          `json:"bytes,omitempty"`
}

// written reports whether others than the product write a kind, whose specifications
// are stored as they are.
func written(kind platform.Kind) bool {
	return kind == platform.KindManifest || kind == platform.KindUpstreams
}

// valueOf returns the value that a specification holds.
func valueOf(kind platform.Kind, text json.RawMessage) []byte {
	if written(kind) {
		return text
	}
	var s spec
	if json.Unmarshal(text, &s) != nil || s.Value == nil {
		return s.Bytes
	}
	return s.Value
}

func published(o platform.Object) object {
	p := object{Meta: meta{Name: o.Name, Revision: o.Version}, Spec: o.Value}
	if written(o.Kind) {
		return p
	}
	s := spec{Bytes: o.Value}
	if json.Valid(o.Value) {
		s = spec{Value: o.Value}
	}
	p.Spec, _ = json.Marshal(s)
	return p
}

// listOf lists a kind by name. The lists of machines show what SetInventory set, for
// tests that set it, beside the objects.
func (s *Store) listOf(ctx context.Context, kind platform.Kind) ([]platform.Object, int64, error) {
	objects, revision, err := s.List(ctx, kind)
	if err != nil {
		return nil, 0, err
	}
	if kind == platform.KindInstances || kind == platform.KindUpstreams {
		inventory, err := s.Inventory(ctx)
		if err != nil {
			return nil, 0, err
		}
		objects = append(objects, machinesOf(kind, inventory)...)
	}
	slices.SortFunc(objects, func(a, b platform.Object) int { return cmp.Compare(a.Name, b.Name) })
	return objects, revision, nil
}

// machinesOf returns an inventory's machines of a kind as objects.
func machinesOf(kind platform.Kind, i platform.Inventory) []platform.Object {
	var objects []platform.Object
	if kind == platform.KindInstances {
		for _, instance := range i.Instances {
			value, _ := json.Marshal(instance)
			objects = append(objects, platform.Object{Kind: kind, Name: instance.ID, Version: 1, Value: value})
		}
		return objects
	}
	for _, u := range i.Upstreams {
		state, role := "ready", "replica"
		if u.Leaving {
			state = "draining"
		}
		if u.Leads {
			role = "primary"
		}
		value, _ := json.Marshal(map[string]any{
			"Service": u.Group, "Addr": u.Address, "Zone": u.FailureDomain, "Slots": u.Slots, "State": state, "DbRole": role, "Seq": 1,
		})
		objects = append(objects, platform.Object{Kind: kind, Name: cmp.Or(u.ID, u.Address), Version: 1, Value: value})
	}
	return objects
}
