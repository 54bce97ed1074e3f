package platform

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"

	"github.com/topazrock/topazrock/internal/platform"
)

// pageSize is the maximum number of objects in one list response.
const pageSize = 500

// object is the JSON form of an object in the platform's HTTP API.
type object struct {
	Meta meta            `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

type meta struct {
	Name     string `json:"Name"`
	Revision int64  `json:"Revision"`
}

// spec is the specification of an object of a kind that topazrock itself writes: Value
// if the stored value is valid JSON, Bytes otherwise.
type spec struct {
	Value json.RawMessage `json:"value,omitempty"`
	Bytes []byte          `json:"bytes,omitempty"`
}

// writtenExternally reports whether objects of a kind are written by others than
// topazrock. Their specifications are stored unchanged.
func writtenExternally(kind platform.Kind) bool {
	return kind == platform.KindManifest || kind == platform.KindUpstreams
}

// specValue returns the value to store for a specification.
func specValue(kind platform.Kind, raw json.RawMessage) []byte {
	if writtenExternally(kind) {
		return raw
	}
	var s spec
	if json.Unmarshal(raw, &s) != nil || s.Value == nil {
		return s.Bytes
	}
	return s.Value
}

func toAPIObject(o platform.Object) object {
	p := object{Meta: meta{Name: o.Name, Revision: o.Revision.Number()}, Spec: o.Value}
	if writtenExternally(o.Kind) {
		return p
	}
	s := spec{Bytes: o.Value}
	if json.Valid(o.Value) {
		s = spec{Value: o.Value}
	}
	p.Spec, _ = json.Marshal(s)
	return p
}

// listWithInventory lists the objects of a kind, sorted by name. Lists of instances and
// upstreams also include the machines that tests set with SetInventory.
func (s *Store) listWithInventory(ctx context.Context, kind platform.Kind) ([]platform.Object, platform.Revision, error) {
	objects, revision, err := s.list(ctx, kind)
	if err != nil {
		return nil, 0, err
	}
	if kind == platform.KindInstances || kind == platform.KindUpstreams {
		inventory, err := s.Inventory(ctx)
		if err != nil {
			return nil, 0, err
		}
		objects = append(objects, inventoryObjects(kind, inventory)...)
	}
	slices.SortFunc(objects, func(a, b platform.Object) int { return cmp.Compare(a.Name, b.Name) })
	return objects, revision, nil
}

// inventoryObjects converts the inventory's machines of a kind to objects.
func inventoryObjects(kind platform.Kind, i platform.Inventory) []platform.Object {
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
		if u.ClaimsPrimary {
			role = "primary"
		}
		value, _ := json.Marshal(map[string]any{
			"Service": u.Group, "Addr": u.Address, "Zone": u.FailureDomain, "Slots": u.Slots, "State": state, "DbRole": role, "Seq": 1,
		})
		objects = append(objects, platform.Object{Kind: kind, Name: cmp.Or(u.ID, u.Address), Version: 1, Value: value})
	}
	return objects
}
