package objectwatch

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/peer"
	"github.com/topazrock/topazrock/internal/platform"
)

// fakeFleet is a fleet with this instance and a fixed set of readers. Only the failure domain of
// the first reader is large enough to need readers.
type fakeFleet struct {
	self    platform.Instance
	readers []platform.Instance
}

// Self implements Fleet.
func (f fakeFleet) Self() platform.Instance { return f.self }

// IsLoaded implements Fleet.
func (fakeFleet) IsLoaded() bool { return true }

// Live implements Fleet.
func (fakeFleet) Live() []platform.Instance { return nil }

// PickCapable implements Fleet.
func (f fakeFleet) PickCapable(_ string, n int) []platform.Instance {
	if n <= readersPerDomain {
		return f.readers
	}
	// The failure domain of the first reader is a large one.
	all := f.readers
	for len(f.readers) > 0 && len(all) < n+1 {
		all = append(all, platform.Instance{ID: "more", FailureDomain: f.readers[0].FailureDomain})
	}
	return all
}

// fakePeer gives the same response to every call.
type fakePeer struct {
	response response
	err      error
}

// Call implements peer.Caller.
func (p *fakePeer) Call(_ context.Context, _, _ string, _, reply any) error {
	*reply.(*response) = p.response
	return p.err
}

// Handle implements peer.HandlerRegistry.
func (*fakePeer) Handle(string, peer.Handler) {}

// A follower asks a peer instead of the platform. It turns to the platform if the peer's
// response does not prove that the objects are current.
func TestPeersSpareThePlatform(t *testing.T) {
	localReader, remoteReader := platform.Instance{ID: "n", FailureDomain: "a"}, platform.Instance{ID: "f", FailureDomain: "b"}
	self := platform.Instance{ID: "s", FailureDomain: "a"}
	const maxAge = 2300 * time.Millisecond
	// noRevision is the expected result if no response proves that the objects are current.
	const noRevision = platform.Revision(-1)
	for name, c := range map[string]struct {
		self    platform.Instance
		readers []platform.Instance
		peer    fakePeer
		want    platform.Revision
	}{
		"same revision, fresh":   {self, []platform.Instance{localReader, remoteReader}, fakePeer{response: response{Revision: 5, AgeMS: 900}}, 5},
		"later revision":         {self, []platform.Instance{localReader}, fakePeer{response: response{Revision: 6, AgeMS: 900}}, 6},
		"old look":               {self, []platform.Instance{localReader}, fakePeer{response: response{Revision: 5, AgeMS: 9000}}, noRevision},
		"cannot tell":            {self, []platform.Instance{localReader}, fakePeer{err: errFeedUnavailable}, noRevision},
		"no answer":              {self, []platform.Instance{localReader}, fakePeer{err: peer.ErrNotSent}, noRevision},
		"reader itself":          {localReader, []platform.Instance{localReader, remoteReader}, fakePeer{response: response{Revision: 5, AgeMS: 1}}, noRevision},
		"none in the own domain": {self, []platform.Instance{remoteReader}, fakePeer{response: response{Revision: 5, AgeMS: 1}}, noRevision},
		"no readers are known":   {self, nil, fakePeer{response: response{Revision: 5, AgeMS: 1}}, noRevision},
		"peer has an older one":  {self, []platform.Instance{localReader}, fakePeer{response: response{Revision: 4, AgeMS: 1}}, 5},
	} {
		s := NewSharing(SharingConfig{API: eralessAPI{eras: platform.NewEraTracker(clock.System{})}, Fleet: fakeFleet{c.self, c.readers}, Caller: &c.peer, Clock: clock.System{}, Rand: rand.New(rand.NewPCG(1, 1)), Log: hclog.NewNullLogger()}, &c.peer)
		_, got, err := s.API(platform.KindManifest, maxAge).ChangesSince(context.Background(), 5)
		if (err == nil) != (c.want != noRevision) || err == nil && got != c.want {
			t.Errorf("%s: %v, %v", name, got, err)
		}
	}
}

// eralessAPI is the API of a platform that reports no eras.
type eralessAPI struct {
	platform.API
	eras *platform.EraTracker
}

// Eras implements platform.API.
func (a eralessAPI) Eras() *platform.EraTracker { return a.eras }
