package directory

import (
	"context"
	"encoding/json"
	"time"

	"github.com/topazrock/topazrock/internal/objectwatch"
	"github.com/topazrock/topazrock/internal/peer"
)

// methodManifest asks a peer which manifest it holds, and how old its last look is.
const methodManifest = "directory.manifest"

// checkDuty is the key by which the instances that list the manifest are picked, and
// checkersPerDomain how many of each failure domain do: two, because one of them may
// be dead and still listed.
const (
	checkDuty         = "directory.check"
	checkersPerDomain = 2
)

// held is a peer's answer.
type held struct {
	Version int64 `json:"version"`
	// AgeMS is how long ago the peer saw the manifest on the platform, in
	// milliseconds; negative when it never has.
	AgeMS int64 `json:"age_ms"`
}

// peerCheck spares the platform most looks at the manifest: a few instances of each
// failure domain list it, and the others ask one of those.
type peerCheck struct {
	d      *Directory
	fleet  objectwatch.Fleet
	caller peer.Caller
}

// UsePeers lets the directory ask other instances for the manifest's version, and share
// the watches of members' entries with them; s may be nil. It comes before Run.
func (d *Directory) UsePeers(f objectwatch.Fleet, c peer.Caller, r peer.Registry, s *objectwatch.Sharing) {
	d.sharing = s
	d.peers = &peerCheck{d: d, fleet: f, caller: c}
	r.Handle(methodManifest, func(context.Context, string, json.RawMessage) (any, error) {
		return d.heldManifest(), nil
	})
}

func (d *Directory) heldManifest() held {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.seenAt.IsZero() {
		return held{AgeMS: -1}
	}
	return held{Version: d.manifest.Version, AgeMS: d.config.Clock.Now().Sub(d.seenAt).Milliseconds()}
}

// sawManifest notes that the platform showed the manifest in force when it was asked.
func (d *Directory) sawManifest(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at.After(d.seenAt) {
		d.seenAt = at
	}
}

// peerCheckTimeout bounds one question to a peer.
const peerCheckTimeout = 300 * time.Millisecond

// current reports whether a peer that has just looked holds no later manifest. False
// says that this instance has to look itself: it is one of those that do, no peer
// answers, the peer's look is old, or its manifest is later.
func (p *peerCheck) current(ctx context.Context) bool {
	near, self := objectwatch.OnDuty(p.fleet, checkDuty, checkersPerDomain)
	if self {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, peerCheckTimeout)
	defer cancel()
	for _, i := range near {
		var h held
		if p.caller.Call(ctx, i.PeerAddress, methodManifest, struct{}{}, &h) != nil {
			continue
		}
		age := time.Duration(h.AgeMS) * time.Millisecond
		return h.AgeMS >= 0 && age <= manifestCheck+peerCheckTimeout && h.Version <= p.d.version()
	}
	return false
}

func (d *Directory) version() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.manifest.Version
}
