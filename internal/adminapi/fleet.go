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

// VersionsMethod is the peer method that tells what an instance has in force.
const VersionsMethod = "config.versions"

const (
	// fleetFanOut bounds the peers asked at one moment: asking 7,400 at once
	// would open as many connections for one operator's question.
	fleetFanOut = 32
	// fleetCallTimeout bounds the wait for one peer.
	fleetCallTimeout = 2 * time.Second
)

// Inventory is the part of the platform that lists machines.
type Inventory interface {
	Inventory(ctx context.Context) (platform.Inventory, error)
}

// PeerFleet asks the live instances over their peer addresses.
type PeerFleet struct {
	self      Identity
	inventory Inventory
	caller    peer.Caller
	documents Documents
}

// NewPeerFleet returns a Fleet that reads the instance list from inventory,
// asks others through caller and answers for itself from documents.
func NewPeerFleet(self Identity, inventory Inventory, caller peer.Caller, documents Documents) *PeerFleet {
	return &PeerFleet{self: self, inventory: inventory, caller: caller, documents: documents}
}

// InForce implements Fleet. The answer is ordered by instance.
func (f *PeerFleet) InForce(ctx context.Context, name string) ([]InstanceVersion, error) {
	list, err := f.inventory.Inventory(ctx)
	if err != nil {
		return nil, result.New(result.PlatformUnavailable, "the list of instances cannot be read").WithCause(err)
	}
	answers := make([]InstanceVersion, len(list.Instances))
	room := make(chan struct{}, fleetFanOut)
	var wait sync.WaitGroup
	for i, instance := range list.Instances {
		room <- struct{}{}
		wait.Go(func() {
			answers[i] = f.ask(ctx, instance, name)
			<-room
		})
	}
	wait.Wait()
	slices.SortFunc(answers, func(a, b InstanceVersion) int { return cmp.Compare(a.Instance, b.Instance) })
	return answers, nil
}

// ask returns what one instance has in force.
func (f *PeerFleet) ask(ctx context.Context, i platform.Instance, name string) InstanceVersion {
	v := InstanceVersion{Instance: i.ID, FailureDomain: i.FailureDomain, Leaving: i.Leaving}
	if i.ID == f.self.ID {
		v.Version = localVersion(f.documents, name)
		return v
	}
	ctx, cancel := context.WithTimeout(ctx, fleetCallTimeout)
	defer cancel()
	versions := map[string]int64{}
	if err := f.caller.Call(ctx, i.PeerAddress, VersionsMethod, struct{}{}, &versions); err != nil {
		v.Error = err.Error()
		return v
	}
	v.Version = versions[name]
	return v
}

// localVersion returns the version in force here; zero if there is none.
func localVersion(d Documents, name string) int64 {
	for _, info := range d.List() {
		if info.Name == name {
			return info.Version
		}
	}
	return 0
}
