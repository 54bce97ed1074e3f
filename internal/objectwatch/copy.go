package objectwatch

import (
	"sync"
	"time"

	"github.com/topazrock/topazrock/internal/platform"
)

// listCopy is what a follower has learned of a kind from others, for those behind it in the tree
// to begin with. It may be older than what readers know; whoever takes it goes on from its
// revision.
type listCopy struct {
	mu       sync.Mutex
	known    bool
	objects  map[string]platform.Object
	revision int64
	// provenAt is when the platform showed that this was all.
	provenAt time.Time
	// learned is closed when the copy is known.
	learned chan struct{}
}

func newListCopy() *listCopy { return &listCopy{learned: make(chan struct{})} }

// listed takes in a list.
func (c *listCopy) listed(objects []platform.Object, revision int64, provenAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.known && revision < c.revision {
		return
	}
	c.objects = make(map[string]platform.Object, len(objects))
	for _, o := range objects {
		c.objects[o.Name] = o
	}
	c.revision, c.provenAt = revision, provenAt
	if !c.known {
		c.known = true
		close(c.learned)
	}
}

// changed takes in the changes from one revision to another, if it holds the former.
func (c *listCopy) changed(objects []platform.Object, after, revision int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known || after > c.revision || revision < c.revision {
		return
	}
	for _, o := range objects {
		if o.Removed {
			delete(c.objects, o.Name)
		} else {
			c.objects[o.Name] = o
		}
	}
	c.revision = revision
}

// list returns what is known.
func (c *listCopy) list() knownList {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known {
		return knownList{}
	}
	return newKnownList(c.objects, c.revision, c.provenAt)
}
