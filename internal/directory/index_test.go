package directory

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// Guards against views that change after they were published, and against names that are lost where
// one index is derived from another.
func TestIndexesAreImmutable(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	current, want := &index[string, int]{}, map[string]int{}
	for range 300 {
		before, wantBefore := current, maps.Clone(want)
		changes := make(map[string]*int)
		for range 1 + random.IntN(5) {
			name, v := fmt.Sprint(random.IntN(50)), random.IntN(100)
			changes[name] = &v
			want[name] = v
			if random.IntN(3) == 0 {
				changes[name] = nil
				delete(want, name)
			}
		}
		current = before.with(changes)
		is.Equal(maps.Collect(before.all()), wantBefore)
		is.Equal(maps.Collect(current.all()), want)
		is.Equal(current.size, len(want))
	}
}
