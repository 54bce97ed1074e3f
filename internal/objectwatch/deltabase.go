package objectwatch

import (
	"sync"

	"github.com/topazrock/topazrock/internal/platform"
)

// deltaBase holds a large object of a kind that this instance knows. Requests refer to it, so
// that the next version can be sent as a delta.
type deltaBase struct {
	mu     sync.Mutex
	object platform.Object
}

// update replaces the object by its next version or by a larger object.
func (b *deltaBase) update(objects []platform.Object) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, o := range objects {
		isNextVersion := o.Name == b.object.Name && o.Revision > b.object.Revision
		if len(o.Value) >= minBaseBytes && (isNextVersion || len(o.Value) > len(b.object.Value)) {
			b.object = o
		}
	}
}

// get returns the object. Its name is empty if there is none.
func (b *deltaBase) get() platform.Object {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.object
}
