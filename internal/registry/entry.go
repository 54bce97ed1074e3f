package registry

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/topazrock/topazrock/internal/platform"
)

// maxCapacity is the largest capacity that an entry may name, in cores. Tasks are divided by capacity.
const maxCapacity = 10_000

var errUnusableEntry = errors.New("registry: the entry names no usable instance")

// decodeEntry decodes an instance's entry. An entry that another writer has left may hold anything. One
// with an address at which nobody answers is that of a dead instance, which the sweeper removes.
func decodeEntry(o platform.Object) (platform.Instance, error) {
	if len(o.Value) == 0 {
		return platform.Instance{}, fmt.Errorf("%w: %w", errUnusableEntry, platform.ErrUnreadable)
	}
	var i platform.Instance
	if err := json.Unmarshal(o.Value, &i); err != nil {
		return platform.Instance{}, fmt.Errorf("%w: %w", errUnusableEntry, err)
	}
	if i.ID == "" || i.ID != o.Name {
		return platform.Instance{}, fmt.Errorf("%w: ID %.100q", errUnusableEntry, i.ID)
	}
	if i.PeerAddress == "" {
		return platform.Instance{}, fmt.Errorf("%w: no address", errUnusableEntry)
	}
	if i.Capacity < 0 || i.Capacity > maxCapacity {
		return platform.Instance{}, fmt.Errorf("%w: capacity %g", errUnusableEntry, i.Capacity)
	}
	return i, nil
}
