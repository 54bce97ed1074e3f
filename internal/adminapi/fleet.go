package adminapi

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/topazrock/topazrock/internal/peer"
	"github.com/topazrock/topazrock/internal/platform"
	"github.com/topazrock/topazrock/internal/result"
)

// VersionsMethod is the peer method that returns the document versions that an
// instance has in force.
const VersionsMethod = "config.versions"

const (
	// maxConcurrentQueries limits the concurrent calls to peers: querying 7,400
	// instances at once would open 7,400 connections for one operator's request.
	maxConcurrentQueries = 32
	// peerCallTimeout limits the wait for one peer.
	peerCallTimeout = 2 * time.Second
)

// InventoryReader is the part of the platform that lists machines.
type InventoryReader interface {
	Inventory(ctx context.Context) (platform.Inventory, error)
}

// PeerFleet implements Fleet by calling the live instances on their peer
// addresses.
type PeerFleet struct {
	self       Identity
	inventory  InventoryReader
	peerClient peer.Caller
	documents  Documents
}

// NewPeerFleet returns a Fleet that reads the instance list from inventory and queries
// the other instances through peerClient. For its own instance, self, it reads the
// versions from documents.
func NewPeerFleet(self Identity, inventory InventoryReader, peerClient peer.Caller, documents Documents) *PeerFleet {
	return &PeerFleet{self: self, inventory: inventory, peerClient: peerClient, documents: documents}
}

// VersionsInForce implements Fleet. The result is ordered by instance.
func (f *PeerFleet) VersionsInForce(ctx context.Context, name string) ([]InstanceVersion, error) {
	inventory, err := f.inventory.Inventory(ctx)
	if err != nil {
		return nil, result.New(result.PlatformUnavailable, "the list of instances cannot be read").WithCause(err)
	}
	versions := make([]InstanceVersion, len(inventory.Instances))
	semaphore := make(chan struct{}, maxConcurrentQueries)
	var wg sync.WaitGroup
	for i, instance := range inventory.Instances {
		semaphore <- struct{}{}
		wg.Go(func() {
			versions[i] = f.queryVersion(ctx, instance, name)
			<-semaphore
		})
	}
	wg.Wait()
	slices.SortFunc(versions, func(a, b InstanceVersion) int { return cmp.Compare(a.Instance, b.Instance) })
	return versions, nil
}

// queryVersion returns the version of a document that one instance has in force.
func (f *PeerFleet) queryVersion(ctx context.Context, instance platform.Instance, name string) InstanceVersion {
	v := InstanceVersion{Instance: instance.ID, FailureDomain: instance.FailureDomain, Leaving: instance.Leaving}
	if instance.ID == f.self.ID {
		v.Version = localVersion(f.documents, name)
		return v
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	versions := map[string]int64{}
	if err := f.peerClient.Call(ctx, instance.PeerAddress, VersionsMethod, struct{}{}, &versions); err != nil {
		v.Error = err.Error()
		return v
	}
	v.Version = versions[name]
	return v
}

// localVersion returns the version in force on this instance; zero if there is
// none.
func localVersion(d Documents, name string) int64 {
	for _, info := range d.List() {
		if info.Name == name {
			return info.Version
		}
	}
	return 0
}
