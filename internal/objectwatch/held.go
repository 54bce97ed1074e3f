package objectwatch

import (
	"sync"

	"github.com/topazrock/topazrock/internal/platform"
)

// heldObject is the large object of a kind that an instance knows, to be told of its next
// version by what differs.
type heldObject struct {
	mu     sync.Mutex
	object platform.Object
}

// note takes in objects that were learned.
func (h *heldObject) note(objects []platform.Object) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, o := range objects {
		next := o.Name == h.object.Name && o.Revision > h.object.Revision
		if len(o.Value) >= leastBase && (next || len(o.Value) > len(h.object.Value)) {
			h.object = o
		}
	}
}

// get returns the object; one without a name if there is none.
func (h *heldObject) get() platform.Object {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.object
}
