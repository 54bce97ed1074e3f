package adminapi

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/platform"
	"github.com/topazrock/topazrock/internal/result"
)

// fixedInventory is an instance list, or the platform's error.
type fixedInventory struct {
	list platform.Inventory
	err  error
}

func (f fixedInventory) Inventory(context.Context) (platform.Inventory, error) { return f.list, f.err }

// versionCaller answers for the peers it knows and fails for others.
type versionCaller map[string]int64

func (c versionCaller) Call(_ context.Context, address, method string, _, reply any) error {
	version, ok := c[address]
	if !ok || method != VersionsMethod {
		return errors.New("no answer")
	}
	(*reply.(*map[string]int64))["base"] = version
	return nil
}

// One instance lags and one does not answer. An operator that waits for the
// change must see both by name: leaving out the silent one would call a change
// in force everywhere while a cut-off instance still serves the old document.
func TestInForceNamesInstancesThatDoNotReport(t *testing.T) {
	is := is.New(t)
	list := platform.Inventory{Instances: []platform.Instance{
		{ID: "c", PeerAddress: "10.0.0.3:1"},
		{ID: "b", PeerAddress: "10.0.0.2:1"},
		{ID: "a", PeerAddress: "10.0.0.1:1"},
	}}
	self := Identity{ID: "a"}
	fleet := NewPeerFleet(self, fixedInventory{list: list}, versionCaller{"10.0.0.2:1": 6}, &fakeDocuments{})
	got, err := fleet.InForce(t.Context(), "base")
	is.NoErr(err)
	is.Equal(got, []InstanceVersion{
		{Instance: "a", Version: 7},
		{Instance: "b", Version: 6},
		{Instance: "c", Error: "no answer"},
	})

	down := NewPeerFleet(self, fixedInventory{err: platform.ErrUnavailable}, versionCaller{}, &fakeDocuments{})
	_, err = down.InForce(t.Context(), "base")
	e, ok := result.As(err)
	is.True(ok)
	is.Equal(e.Code, result.PlatformUnavailable)
}
