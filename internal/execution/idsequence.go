package execution

import (
	"crypto/rand"
	"strconv"
	"sync/atomic"
)

// IDSequence issues IDs that no other IDSequence issues, neither in this process nor in another
// one. IDs that leave a process come from it: an instance that restarts keeps its name and its
// addresses, so a number that starts again with the process would name something else there.
// It is safe for concurrent use.
type IDSequence struct {
	prefix string
	count  atomic.Uint64
}

// NewIDSequence returns an IDSequence with a random prefix of 128 bits or more.
func NewIDSequence() *IDSequence { return &IDSequence{prefix: rand.Text()} }

// Next returns an ID that was not issued before.
func (s *IDSequence) Next() string { return s.prefix + "-" + strconv.FormatUint(s.count.Add(1), 36) }
