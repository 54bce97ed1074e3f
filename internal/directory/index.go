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
type index[K ~string, V any] struct {
	shards [indexShards]map[K]V
	size   int
}

func shardOf[K ~string](name K) int { return int(xxhash.Sum64String(string(name)) % indexShards) }

// get returns the value of a name.
func (x *index[K, V]) get(name K) (V, bool) {
	v, ok := x.shards[shardOf(name)][name]
	return v, ok
}

// all returns the names and values in no particular order.
func (x *index[K, V]) all() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
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
func (x *index[K, V]) with(changes map[K]*V) *index[K, V] {
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
func (x *index[K, V]) set(shard int, name K, v *V) {
	_, known := x.shards[shard][name]
	switch {
	case v == nil:
		delete(x.shards[shard], name)
		if known {
			x.size--
		}
		return
	case x.shards[shard] == nil:
		x.shards[shard] = make(map[K]V)
	}
	x.shards[shard][name] = *v
	if !known {
		x.size++
	}
}
