package directory

import (
	"github.com/topazrock/topazrock/internal/objectwatch"
	"github.com/topazrock/topazrock/internal/platform"
)

// manifestSink receives changes of the manifest.
type manifestSink struct {
	d *Directory
	// origin is where the objects that are being applied come from.
	origin objectwatch.Origin
}

// SetOrigin implements objectwatch.OriginSink.
func (s *manifestSink) SetOrigin(o objectwatch.Origin) { s.origin = o }

// ApplyList implements objectwatch.Sink.
func (s *manifestSink) ApplyList(objects []platform.Object) { s.ApplyChanges(objects) }

// ApplyChanges implements objectwatch.Sink.
func (s *manifestSink) ApplyChanges(objects []platform.Object) {
	for _, o := range objects {
		s.d.applyManifest(o, s.origin)
	}
	s.d.publish()
}

// PlatformReturned implements objectwatch.ReturnSink. Another instance may have a manifest that the
// store lost before this instance received it.
func (s *manifestSink) PlatformReturned() {
	if s.d.peers != nil {
		s.d.requestManifestCheck()
	}
}

// SetReachable implements objectwatch.Sink. It does nothing: a manifest stays in force while the
// platform is unreachable.
func (*manifestSink) SetReachable(bool) {}

// upstreamSink receives changes of the members' entries.
type upstreamSink struct{ d *Directory }

// ApplyList implements objectwatch.Sink.
func (s upstreamSink) ApplyList(objects []platform.Object) {
	now := s.d.config.Clock.Now()
	listed := make(map[string]bool, len(objects))
	for _, o := range objects {
		listed[o.Name] = true
		s.d.applyMember(o, now)
	}
	s.d.mu.Lock()
	s.d.members.markMissingExcept(listed, now)
	s.d.unusable.Retain(objects)
	s.d.mu.Unlock()
	s.d.publish()
}

// ApplyChanges implements objectwatch.Sink.
func (s upstreamSink) ApplyChanges(objects []platform.Object) {
	now := s.d.config.Clock.Now()
	for _, o := range objects {
		s.d.applyMember(o, now)
	}
	s.d.publish()
}

// PlatformReturned implements objectwatch.ReturnSink.
func (s upstreamSink) PlatformReturned() {
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	s.d.members.recordReturn(s.d.config.Clock.Now())
}

// SetReachable implements objectwatch.Sink.
func (s upstreamSink) SetReachable(reachable bool) {
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	s.d.members.setPlatformReachable(reachable, s.d.config.Clock.Now())
}
