package directory

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/document"
	"github.com/topazrock/topazrock/internal/platform"
	standin "github.com/topazrock/topazrock/internal/standin/platform"
)

// jsonDecoder decodes objects that are plain JSON encodings of the internal types.
type jsonDecoder struct{}

var errMalformed = errors.New("malformed")

// DecodeManifest implements Decoder.
func (jsonDecoder) DecodeManifest(o platform.Object) (m Manifest, err error) {
	err = json.Unmarshal(o.Value, &m)
	if m.Version == 0 {
		err = errMalformed
	}
	return m, err
}

// DecodeUpstream implements Decoder.
func (jsonDecoder) DecodeUpstream(o platform.Object) (u platform.Upstream, err error) {
	err = json.Unmarshal(o.Value, &u)
	if u.Address == "" {
		err = errMalformed
	}
	u.ID = o.Name
	return u, err
}

// harness is a directory that follows an in-memory platform.
type harness struct {
	t         *testing.T
	is        *is.I
	store     *standin.Store
	directory *Directory
}

func withHarness(t *testing.T, f func(h *harness)) {
	synctest.Test(t, func(t *testing.T) {
		h := &harness{t: t, is: is.New(t), store: standin.NewStore()}
		h.directory = New(Config{API: h.store, Decoder: jsonDecoder{}, Clock: clock.System{}, Seed: 1, Log: hclog.NewNullLogger()})
		h.putManifest(3, "db")
		for i := range 3 {
			h.putMember(i, fmt.Sprintf("10.0.0.%d:1", i), false)
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = h.directory.Run(ctx)
		}()
		time.Sleep(time.Second)
		f(h)
		cancel()
		<-done
	})
}

func (h *harness) put(kind platform.Kind, name string, value any) {
	text, err := json.Marshal(value)
	h.is.NoErr(err)
	h.putText(kind, name, text)
}

func (h *harness) putText(kind platform.Kind, name string, text []byte) {
	stored, _ := h.store.Get(context.Background(), kind, name)
	_, err := h.store.Put(context.Background(), kind, name, text, stored.Version)
	h.is.NoErr(err)
}

func (h *harness) putManifest(version int64, databases ...string) {
	m := Manifest{Version: version, Groups: []Group{{Name: "g", MemberConnections: 30}}}
	for _, name := range databases {
		m.Databases = append(m.Databases, Database{Name: name, Group: "g", Class: document.ReadClass{Name: name}})
	}
	h.put(platform.KindManifest, platform.ManifestName, m)
}

func (h *harness) putMember(i int, address string, leaving bool) {
	h.put(platform.KindUpstreams, fmt.Sprintf("i-%d", i), platform.Upstream{Group: "g", Address: address, FailureDomain: "a", Slots: 5, Leaving: leaving})
}

func (h *harness) removeMember(i int) {
	name := fmt.Sprintf("i-%d", i)
	stored, err := h.store.Get(context.Background(), platform.KindUpstreams, name)
	h.is.NoErr(err)
	h.is.NoErr(h.store.Delete(context.Background(), platform.KindUpstreams, name, stored.Version))
}

func (h *harness) countMembers() int {
	s, ok := h.directory.FindService("g")
	if !ok {
		return 0
	}
	return len(s.Groups[0].Members)
}

// A manifest with a lower version arrives after one with a higher version, as from a slow
// store, followed by a manifest that cannot be decoded. The one with the highest version must
// stay in force.
func TestManifestVersionNeverDecreases(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.putManifest(9, "db", "later")
		time.Sleep(100 * time.Millisecond)
		_, ok := h.directory.FindDatabase("later")
		h.is.True(ok)
		h.putManifest(8, "db")
		time.Sleep(3 * time.Second)
		_, ok = h.directory.FindDatabase("later")
		h.is.True(ok)
		h.putText(platform.KindManifest, platform.ManifestName, []byte(`{"Version":`))
		time.Sleep(3 * time.Second)
		_, ok = h.directory.FindDatabase("later")
		h.is.True(ok)
	})
}

// Watches deliver no events while the manifest changes. The periodic check must still put it in
// force within three seconds.
func TestManifestIsAppliedWithoutWatchEvents(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.store.SetFaults(standin.Faults{SuppressWatchEvents: true})
		h.putManifest(9, "db", "later")
		time.Sleep(2500 * time.Millisecond)
		_, ok := h.directory.FindDatabase("later")
		h.is.True(ok)
	})
}

// The last known state stays in force during a long platform outage.
func TestStateSurvivesPlatformOutage(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.store.SetFaults(standin.Faults{Outage: true})
		time.Sleep(time.Minute)
		h.is.True(h.directory.Ready())
		h.is.Equal(h.countMembers(), 3)
		_, ok := h.directory.FindDatabase("db")
		h.is.True(ok)
	})
}

// A member's entry disappears and returns after two seconds, as after a platform outage. The
// member must count throughout. A member whose entry stays missing is removed, but the group's
// majority is still computed for three members.
func TestMissingEntriesHaveGracePeriod(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.removeMember(1)
		time.Sleep(2 * time.Second)
		h.is.Equal(h.countMembers(), 3)
		h.putMember(1, "10.0.0.1:1", false)
		time.Sleep(4 * time.Second)
		h.is.Equal(h.countMembers(), 3)
		h.removeMember(2)
		time.Sleep(4 * time.Second)
		h.is.Equal(h.countMembers(), 2)
		s, _ := h.directory.FindService("g")
		h.is.Equal(s.Groups[0].MinSize, document.MinMembers)
	})
}

// An entry expires while the platform is down, which does not show that its member is gone. The
// member counts until the platform has been reachable for the grace period.
func TestEntriesExpiredDuringOutageAreKept(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.removeMember(1)
		time.Sleep(100 * time.Millisecond)
		h.store.SetFaults(standin.Faults{Outage: true})
		time.Sleep(20 * time.Second)
		h.is.Equal(h.countMembers(), 3)
		h.store.SetFaults(standin.Faults{})
		time.Sleep(2 * time.Second)
		h.is.Equal(h.countMembers(), 3)
		time.Sleep(4 * time.Second)
		h.is.Equal(h.countMembers(), 2)
	})
}

// A new member takes over the address of a member that is leaving. MemberID must return the
// new member, in whatever order the two entries arrive.
func TestReplacementSupersedesLeavingMemberAtSameAddress(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.putMember(7, "10.0.0.1:1", false)
		h.putMember(1, "10.0.0.1:1", true)
		time.Sleep(time.Second)
		id, ok := h.directory.MemberID("g", "10.0.0.1:1")
		h.is.True(ok)
		h.is.Equal(id, "i-7")
		h.is.True(!h.directory.IsLeaving("g", "10.0.0.1:1"))
		_, ok = h.directory.MemberID("other", "10.0.0.1:1")
		h.is.True(!ok)
	})
}

// Malformed entries among the members' entries are ignored, and the others are kept.
func TestMalformedEntriesAreIgnored(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.putText(platform.KindUpstreams, "i-9", []byte("\xff{"))
		h.putText(platform.KindUpstreams, "i-8", []byte(`{"Group":7}`))
		time.Sleep(time.Second)
		h.is.Equal(h.countMembers(), 3)
	})
}

// Guards against an entry of another group, or of none, that takes a member's address from its group.
func TestEntryOfAnotherGroupHidesNoMember(t *testing.T) {
	withHarness(t, func(h *harness) {
		time.Sleep(time.Second)
		service, ok := h.directory.FindService("g")
		h.is.True(ok)
		h.is.Equal(len(service.Groups[0].Members), 3)
		for revision, group := range []string{"other", "unknown", ""} {
			h.put(platform.KindUpstreams, "odd", platform.Upstream{Group: group, Address: "10.0.0.1:1", Leaving: revision == 1, Started: int64(revision)})
			time.Sleep(time.Second)
			id, ok := h.directory.MemberID("g", "10.0.0.1:1")
			h.is.True(ok)
			h.is.Equal(id, "i-1")
			h.is.True(!h.directory.IsLeaving("g", "10.0.0.1:1"))
			h.is.Equal(h.directory.MemberStarted("g", "10.0.0.1:1"), int64(0))
			service, ok = h.directory.FindService("g")
			h.is.True(ok)
			h.is.Equal(len(service.Groups[0].Members), 3)
		}
		id, ok := h.directory.MemberID("", "10.0.0.1:1")
		h.is.True(ok)
		h.is.Equal(id, "odd")
	})
}
