package adminapi

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/platform"
	"github.com/topazrock/topazrock/internal/result"
)

// fakeInventory returns a fixed list of instances, or an error of the platform.
type fakeInventory struct {
	list platform.Inventory
	err  error
}

func (f fakeInventory) Inventory(context.Context) (platform.Inventory, error) { return f.list, f.err }

// fakePeerClient maps the addresses of the peers that respond to their versions;
// calls to other peers fail.
type fakePeerClient map[string]int64

func (c fakePeerClient) Call(_ context.Context, address, method string, _, reply any) error {
	version, ok := c[address]
	if !ok || method != VersionsMethod {
		return errors.New("no answer")
	}
	(*reply.(*map[string]int64))["base"] = version
	return nil
}

// One instance has an old version and one does not respond. The list must contain
// both: if the unresponsive instance were omitted, a change would seem to be in
// force everywhere while that instance still serves the old document.
func TestVersionsInForceListsUnresponsiveInstances(t *testing.T) {
	is := is.New(t)
	list := platform.Inventory{Instances: []platform.Instance{
		{ID: "c", PeerAddress: "10.0.0.3:1"},
		{ID: "b", PeerAddress: "10.0.0.2:1"},
		{ID: "a", PeerAddress: "10.0.0.1:1"},
	}}
	self := Identity{ID: "a"}
	fleet := NewPeerFleet(self, fakeInventory{list: list}, fakePeerClient{"10.0.0.2:1": 6}, &fakeDocuments{})
	got, err := fleet.VersionsInForce(t.Context(), "base")
	is.NoErr(err)
	is.Equal(got, []InstanceVersion{
		{Instance: "a", Version: 7},
		{Instance: "b", Version: 6},
		{Instance: "c", Error: "no answer"},
	})

	down := NewPeerFleet(self, fakeInventory{err: platform.ErrUnavailable}, fakePeerClient{}, &fakeDocuments{})
	_, err = down.VersionsInForce(t.Context(), "base")
	e, ok := result.As(err)
	is.True(ok)
	is.Equal(e.Code, result.PlatformUnavailable)
}
