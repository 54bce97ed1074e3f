package directory

import "github.com/topazrock/topazrock/internal/platform"

// manifestSink receives changes of the manifest.
type manifestSink struct{ d *Directory }

// Listed implements objectwatch.Sink.
func (s manifestSink) Listed(objects []platform.Object) { s.Changed(objects) }

// Changed implements objectwatch.Sink.
func (s manifestSink) Changed(objects []platform.Object) {
	for _, o := range objects {
		s.d.applyManifest(o)
	}
	s.d.publish()
}

// Touch implements objectwatch.Sink. It does nothing: a manifest stays in force while the
// platform is unreachable.
func (manifestSink) Touch(bool) {}

// upstreamSink receives changes of the members' entries.
type upstreamSink struct{ d *Directory }

// Listed implements objectwatch.Sink.
func (s upstreamSink) Listed(objects []platform.Object) {
	now := s.d.config.Clock.Now()
	listed := make(map[string]bool, len(objects))
	for _, o := range objects {
		listed[o.Name] = true
		s.d.applyMember(o, now)
	}
	s.d.mu.Lock()
	s.d.members.markMissingExcept(listed, now)
	s.d.mu.Unlock()
	s.d.publish()
}

// Changed implements objectwatch.Sink.
func (s upstreamSink) Changed(objects []platform.Object) {
	now := s.d.config.Clock.Now()
	for _, o := range objects {
		s.d.applyMember(o, now)
	}
	s.d.publish()
}

// Touch implements objectwatch.Sink.
func (s upstreamSink) Touch(reachable bool) {
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	s.d.members.setPlatformReachable(reachable, s.d.config.Clock.Now())
}
