package directory

import "github.com/topazrock/topazrock/internal/platform"

// manifestSink takes what the watch of the manifest brings.
type manifestSink struct{ d *Directory }

// Listed implements objectwatch.Sink.
func (s manifestSink) Listed(objects []platform.Object) { s.Changed(objects) }

// Changed implements objectwatch.Sink.
func (s manifestSink) Changed(objects []platform.Object) {
	for _, o := range objects {
		s.d.adoptManifest(o)
	}
	s.d.publish()
}

// Touch implements objectwatch.Sink. A manifest stays in force without touch.
func (manifestSink) Touch(bool) {}

// upstreamSink takes what the watch of the members' entries brings.
type upstreamSink struct{ d *Directory }

// Listed implements objectwatch.Sink.
func (s upstreamSink) Listed(objects []platform.Object) {
	now := s.d.config.Clock.Now()
	listed := make(map[string]bool, len(objects))
	for _, o := range objects {
		listed[o.Name] = true
		s.d.adoptEntry(o, now)
	}
	s.d.mu.Lock()
	s.d.roster.keepOnly(listed, now)
	s.d.mu.Unlock()
	s.d.publish()
}

// Changed implements objectwatch.Sink.
func (s upstreamSink) Changed(objects []platform.Object) {
	now := s.d.config.Clock.Now()
	for _, o := range objects {
		s.d.adoptEntry(o, now)
	}
	s.d.publish()
}

// Touch implements objectwatch.Sink.
func (s upstreamSink) Touch(inTouch bool) {
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	s.d.roster.touch(inTouch, s.d.config.Clock.Now())
}
