// Package platform defines the interface between topazrock and the platform's object API
// and instance list.
//
// An object has a kind, a name, a value and the revision of its last change. A watch resumes
// from a revision, and a change can be conditional on one.
//
// The store behind the API loses nothing that it has acknowledged unless it returns from an older
// copy, which begins its next era. A Revision names its era, and no call relies on one of an
// earlier era: a watch from it has to list again, a change conditional on it conflicts.
package platform

import "context"

// Kind groups objects that are listed and watched together.
type Kind string

// Kinds of objects that topazrock reads or writes.
const (
	// KindService holds service documents, one object per service.
	KindService Kind = "services"
	// KindGroup holds the term claims of a group, one object per group.
	KindGroup Kind = "groups"
	// KindShares holds the allocation of a group's connections.
	KindShares Kind = "shares"
	// KindInstances holds the entry of each instance, which the instance writes itself.
	KindInstances Kind = "instances"
	// KindManifest holds the service configuration that the platform's operator writes.
	// topazrock only reads it; its only object is ManifestName.
	KindManifest Kind = "manifest"
	// KindUpstreams holds the entries that the members write about themselves.
	// topazrock only reads them.
	KindUpstreams Kind = "upstreams"
)

// ManifestName is the name of the KindManifest object that is in force.
const ManifestName = "main"

// MaxValueSize is the largest value that the platform accepts, in bytes.
const MaxValueSize = 1 << 20

// Object is one stored object.
type Object struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Version is the revision to require in a conditional change of this object, and Revision
	// that of its last change.
	Version  Revision `json:"version"`
	Revision Revision `json:"revision"`
	// Value is empty if what is stored cannot be read; see ErrUnreadable.
	Value []byte `json:"value"`
	// Removed reports in the response to a watch that the object was deleted.
	Removed bool `json:"removed,omitempty"`
}

// Instance is an entry of the instance list. The list lags behind the actual state.
type Instance struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failure_domain"`
	// PeerAddress is where the instance accepts connections from its peers.
	PeerAddress string `json:"peer_address"`
	// AdminAddress is where the instance serves its administration API.
	AdminAddress string `json:"admin_address"`
	Leaving      bool   `json:"leaving"`
	// Capacity is the processor time that the instance may use, in cores; zero if it is not known.
	Capacity float64 `json:"capacity,omitempty"`
	// PicksByCapacity reports that the instance takes capacities into account when it picks
	// instances for tasks. Those of earlier builds do not.
	PicksByCapacity bool `json:"picks_by_capacity,omitempty"`
}

// Upstream is an entry of the upstream list: a member, as described by itself.
type Upstream struct {
	// ID identifies the member. Its address may later be used by another member.
	ID            string `json:"id,omitempty"`
	Group         string `json:"group,omitempty"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain,omitempty"`
	// Slots is the number of statements that the member runs concurrently.
	Slots   int  `json:"slots,omitempty"`
	Leaving bool `json:"leaving"`
	// ClaimsPrimary reports that the member considers itself the primary.
	ClaimsPrimary bool `json:"leads,omitempty"`
	// Started distinguishes successive starts of the member with the same ID.
	Started int64 `json:"started,omitempty"`
}

// Inventory is the platform's list of instances and upstreams, including leaving ones.
type Inventory struct {
	Instances []Instance `json:"instances"`
	Upstreams []Upstream `json:"upstreams"`
}

// API is the platform's API as topazrock uses it. Its errors are ErrNotFound,
// ErrConflict, ErrCompacted, ErrUnavailable, and ErrOutcomeUnknown for a Put whose
// response was lost.
type API interface {
	Get(ctx context.Context, kind Kind, name string) (Object, error)
	// List returns all objects of a kind and the store's revision.
	List(ctx context.Context, kind Kind) ([]Object, Revision, error)
	// ListStale is like List, but the result may be some seconds old. It may be cheaper
	// for the platform.
	ListStale(ctx context.Context, kind Kind) ([]Object, Revision, error)
	// Put stores value if the object's version is ifVersion and returns the stored object. The
	// number zero means that the object must not exist; the zero Revision, in whatever era.
	Put(ctx context.Context, kind Kind, name string, value []byte, ifVersion Revision) (Object, error)
	// Delete removes an object if its version is ifVersion. It returns ErrNotFound if the
	// object does not exist.
	Delete(ctx context.Context, kind Kind, name string, ifVersion Revision) error
	// Watch waits for changes of a kind after a revision and returns them with the
	// revision to resume from. An empty result means that there were none within the
	// platform's time limit. A watch that waits ends with ErrCompacted when a later era of the
	// store is seen.
	Watch(ctx context.Context, kind Kind, after Revision) ([]Object, Revision, error)
	// Inventory returns the list of instances and upstreams.
	Inventory(ctx context.Context) (Inventory, error)
	// Eras returns the eras of the store as this instance has seen them.
	Eras() *EraTracker
}
