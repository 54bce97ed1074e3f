// Package platform is the seam between the product and the platform's object
// API and instance list.
//
// An object has a kind, a name, a value and a version that only rises. Every
// change of any object of a kind gets a revision, and a watch resumes from one.
package platform

import "context"

// Kind groups objects that are listed and watched together.
type Kind string

// Kinds of the product's objects.
const (
	// KindService holds service documents, one object a service.
	KindService Kind = "services"
	// KindGroup holds the term claims of a group, one object a group.
	KindGroup Kind = "groups"
	// KindShares holds the allocation of a group's connections.
	KindShares Kind = "shares"
	// KindInstances holds the entry of each instance, kept by itself.
	KindInstances Kind = "instances"
	// KindManifest holds what an operator of the platform writes about services.
	// The product only reads it; its one object is ManifestName.
	KindManifest Kind = "manifest"
	// KindUpstreams holds the members' own entries. The product only reads it.
	KindUpstreams Kind = "upstreams"
)

// ManifestName is the name of the object of KindManifest in force.
const ManifestName = "main"

// MaxValueSize is the largest value the platform takes, in bytes.
const MaxValueSize = 1 << 20

// Object is one stored object.
type Object struct {
	Kind    Kind   `json:"kind"`
	Name    string `json:"name"`
	Version int64  `json:"version"`
	// Revision is the kind's revision at this object's last change.
	Revision int64  `json:"revision"`
	Value    []byte `json:"value"`
	// Removed says that the object is gone; a watch tells so.
	Removed bool `json:"removed,omitempty"`
}

// Instance is one entry of the instance list. The list lags behind reality.
type Instance struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failure_domain"`
	// PeerAddress is where the instance takes connections of its peers.
	PeerAddress string `json:"peer_address"`
	// AdminAddress is where the instance serves its administration API.
	AdminAddress string `json:"admin_address"`
	Leaving      bool   `json:"leaving"`
}

// Upstream is one entry of the upstream list: a member as it says of itself.
type Upstream struct {
	// ID names the member; another one may come to the same address.
	ID            string `json:"id,omitempty"`
	Group         string `json:"group,omitempty"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain,omitempty"`
	// Slots is how many statements it runs at once.
	Slots   int  `json:"slots,omitempty"`
	Leaving bool `json:"leaving"`
	// Leads says that the member takes itself for the primary.
	Leads bool `json:"leads,omitempty"`
	// Started tells one start of the member from the next under the same ID.
	Started int64 `json:"started,omitempty"`
}

// Inventory is the platform's list of live and leaving machines.
type Inventory struct {
	Instances []Instance `json:"instances"`
	Upstreams []Upstream `json:"upstreams"`
}

// API is the platform as the product sees it. Errors are ErrNotFound,
// ErrConflict, ErrCompacted, ErrUnavailable, or ErrOutcomeUnknown for a Put
// whose answer was lost.
type API interface {
	Get(ctx context.Context, kind Kind, name string) (Object, error)
	// List returns all objects of a kind and the kind's revision.
	List(ctx context.Context, kind Kind) ([]Object, int64, error)
	// ListStale is List for a caller that bears an answer some seconds old; it may be
	// cheaper for the platform.
	ListStale(ctx context.Context, kind Kind) ([]Object, int64, error)
	// Put stores value if the object's version is ifVersion (0: it must not
	// exist) and returns the object as stored.
	Put(ctx context.Context, kind Kind, name string, value []byte, ifVersion int64) (Object, error)
	// Delete removes an object if its version is ifVersion. An object that is not
	// there is ErrNotFound.
	Delete(ctx context.Context, kind Kind, name string, ifVersion int64) error
	// Watch waits for changes of a kind after a revision and returns them with
	// the revision to resume from. An empty answer means none came in time.
	Watch(ctx context.Context, kind Kind, after int64) ([]Object, int64, error)
	// Inventory returns the list of machines.
	Inventory(ctx context.Context) (Inventory, error)
}
