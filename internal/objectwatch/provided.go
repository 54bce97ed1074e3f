package objectwatch

import (
	"context"

	"github.com/topazrock/topazrock/internal/platform"
)

// ListFrom requests the first list of the kind from the instance at an address, which may have to wait
// for it. The follower continues from this list.
func (a *SharedAPI) ListFrom(ctx context.Context, address string) ([]platform.Object, error) {
	source := platform.Instance{PeerAddress: address}
	got, err := a.callPeer(ctx, source, methodList, request{Kind: a.kind, WaitForList: true}, parentTimeout)
	return got.objects, err
}

// ProvideList makes this instance serve a list from the platform to others. The follower continues from
// this list.
func (a *SharedAPI) ProvideList(objects []platform.Object, revision platform.Revision) {
	a.relayed.applyList(objects, revision, a.sharing.Clock.Now())
}

// takeProvided returns the list that was received or provided before the follower started, the first
// time that it is called. An instance that reads from the platform has none: its own list is complete
// for those that follow it.
func (a *SharedAPI) takeProvided() (snapshot, bool) {
	if a.kind != platform.KindInstances || a.hasList.Load() || len(a.sharing.readers()) == 0 {
		return snapshot{}, false
	}
	list := a.relayed.snapshot()
	if !list.valid || list.revision.Era() < a.API.Eras().Latest() {
		return snapshot{}, false
	}
	a.hasList.Store(true)
	return list, true
}
