package directory

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/topazrock/topazrock/internal/objectwatch"
	"github.com/topazrock/topazrock/internal/peer"
	"github.com/topazrock/topazrock/internal/platform"
)

const (
	// methodManifest asks an instance for its manifest if that is later than the requester's.
	methodManifest = "directory.manifest"
	// askedPeers is how many instances are asked for a later manifest, and askTimeout bounds each
	// call.
	askedPeers = 3
	askTimeout = 300 * time.Millisecond
)

// manifestRequest names the version that the requester has.
type manifestRequest struct {
	Version int64 `json:"version"`
}

// manifestResponse holds the manifest in force, or nothing if the requester has it.
type manifestResponse struct {
	Value []byte `json:"value,omitempty"`
}

// manifestPeers are the other instances, as holders of manifests that the platform's store may
// have lost: after a return from an older copy, an instance that starts would otherwise put an
// older manifest in force, with databases and keys that were removed since.
type manifestPeers struct {
	fleet  objectwatch.Fleet
	caller peer.Caller
	rand   *rand.Rand
	// asked holds a token when the other instances are to be asked.
	asked chan struct{}
}

// UsePeers makes this instance exchange manifests with other instances after a return of the
// platform's store. It must be called before Run.
func (d *Directory) UsePeers(f objectwatch.Fleet, c peer.Caller, r peer.HandlerRegistry) {
	d.peers = &manifestPeers{fleet: f, caller: c, rand: rand.New(rand.NewPCG(d.config.Seed, 4)), asked: make(chan struct{}, 1)}
	r.Handle(methodManifest, d.serveManifest)
}

// serveManifest returns the manifest in force if it is later than the requester's.
func (d *Directory) serveManifest(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var req manifestRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.manifestKnown || d.manifest.Version <= req.Version {
		return manifestResponse{}, nil
	}
	return manifestResponse{Value: d.manifestObject.Value}, nil
}

// requestManifestCheck makes this instance ask the others for a later manifest.
func (d *Directory) requestManifestCheck() {
	select {
	case d.peers.asked <- struct{}{}:
	default:
	}
}

// runManifestChecks asks other instances for a later manifest whenever that is requested.
func (d *Directory) runManifestChecks(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.peers.asked:
		}
		d.askForLaterManifest(ctx)
		d.mu.Lock()
		d.manifestConfirmed = true
		d.mu.Unlock()
		d.publish()
	}
}

// askForLaterManifest asks a few random instances and applies the latest manifest.
func (d *Directory) askForLaterManifest(ctx context.Context) {
	d.mu.Lock()
	version := d.manifest.Version
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, i := range d.peers.pick() {
		calls.Go(func() {
			var got manifestResponse
			err := d.peers.caller.Call(ctx, i.PeerAddress, methodManifest, manifestRequest{Version: version}, &got)
			if err != nil {
				d.log.Debug("Asking an instance for its manifest failed.", "instance", i.ID, "error", err)
				return
			}
			if len(got.Value) > 0 {
				d.log.Info("Another instance has a later manifest than the platform.", "instance", i.ID)
				d.applyManifest(platform.Object{Kind: platform.KindManifest, Name: platform.ManifestName, Value: got.Value}, objectwatch.OriginPeer)
			}
		})
	}
	calls.Wait()
}

// pick returns the instances to ask.
func (p *manifestPeers) pick() []platform.Instance {
	var others []platform.Instance
	self := p.fleet.Self()
	for _, i := range p.fleet.Live() {
		if i.ID != self.ID {
			others = append(others, i)
		}
	}
	p.rand.Shuffle(len(others), func(a, b int) { others[a], others[b] = others[b], others[a] })
	return others[:min(askedPeers, len(others))]
}

// confirmManifest confirms the first manifest and reports whether the state may be published. It
// may not if the platform's store has ever returned from a copy and no other instance was asked for
// a later manifest yet. The caller holds d.mu.
func (d *Directory) confirmManifest() bool {
	if !d.manifestKnown || d.manifestConfirmed {
		return true
	}
	d.manifestConfirmed = d.peers == nil || d.config.API.Eras().ReturnedAt().IsZero()
	return d.manifestConfirmed
}
