package directory

import (
	"iter"
	"maps"

	"github.com/cespare/xxhash/v2"
)

// indexShards is the number of parts of an index. A change copies one part.
const indexShards = 1024

// index is an immutable map from names to values. An index with a few changes shares what is unchanged
// with the one it was derived from.
type index[V any] struct {
	shards [indexShards]map[string]V
	size   int
}

func shardOf(name string) int { return int(xxhash.Sum64String(name) % indexShards) }

// get returns the value of a name.
func (x *index[V]) get(name string) (V, bool) {
	v, ok := x.shards[shardOf(name)][name]
	return v, ok
}

// all returns the names and values in no particular order.
func (x *index[V]) all() iter.Seq2[string, V] {
	return func(yield func(string, V) bool) {
		for _, shard := range x.shards {
			for name, v := range shard {
				if !yield(name, v) {
					return
				}
			}
		}
	}
}

// with returns an index with changed values. A nil value removes the name.
func (x *index[V]) with(changes map[string]*V) *index[V] {
	if len(changes) == 0 {
		return x
	}
	next := *x
	copied := make(map[int]bool, len(changes))
	for name, v := range changes {
		k := shardOf(name)
		if !copied[k] {
			copied[k] = true
			next.shards[k] = maps.Clone(next.shards[k])
		}
		next.set(k, name, v)
	}
	return &next
}

// set changes a value in a shard that is not shared.
func (x *index[V]) set(shard int, name string, v *V) {
	_, known := x.shards[shard][name]
	switch {
	case v == nil:
		delete(x.shards[shard], name)
		if known {
			x.size--
		}
		return
	case x.shards[shard] == nil:
		x.shards[shard] = make(map[string]V)
	}
	x.shards[shard][name] = *v
	if !known {
		x.size++
	}
}
