package instance

import (
	"github.com/topazrock/topazrock/internal/document"
	"github.com/topazrock/topazrock/internal/membership"
	"github.com/topazrock/topazrock/internal/platform"
)

// Documents is the store of the service documents in force.
type Documents interface {
	// FindService returns the service that names a group.
	FindService(group string) (*document.Service, bool)
	// Services returns all services in force.
	Services() []*document.Service
	// Ready reports whether any document has been learned.
	Ready() bool
	// OnChange calls f after each change of what is in force.
	OnChange(f func())
}

// homes finds instances for the router.
type homes struct{ members *membership.Members }

// Homes implements executor.Homes.
func (h homes) Homes(group string) []platform.Instance { return h.members.Homes(group) }

// FindInstance implements executor.Homes.
func (h homes) FindInstance(id string) (platform.Instance, bool) {
	for _, p := range h.members.Peers() {
		if p.ID == id {
			return p, true
		}
	}
	return platform.Instance{}, false
}
