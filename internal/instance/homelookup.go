package instance

import (
	"github.com/topazrock/topazrock/internal/membership"
	"github.com/topazrock/topazrock/internal/platform"
)

// homeLookup implements executor.Homes on the list of instances.
type homeLookup struct{ members *membership.Members }

// Homes implements executor.Homes.
func (h homeLookup) Homes(group string) []platform.Instance { return h.members.Homes(group) }

// FindInstance implements executor.Homes.
func (h homeLookup) FindInstance(id string) (platform.Instance, bool) {
	return h.members.FindPeer(id)
}
