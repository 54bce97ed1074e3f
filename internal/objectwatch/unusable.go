package objectwatch

import (
	"github.com/hashicorp/go-hclog"

	"github.com/topazrock/topazrock/internal/platform"
)

// Unusable logs and counts the objects of a kind that a Sink cannot use, each one once for each of its
// revisions: lists repeat them. It is guarded by the lock of its user.
type Unusable struct {
	kind    platform.Kind
	log     hclog.Logger
	metrics *Metrics
	// reported holds the revision of each object that was reported last.
	reported map[string]platform.Revision
}

// NewUnusable returns an Unusable for a kind. m may be nil.
func NewUnusable(kind platform.Kind, l hclog.Logger, m *Metrics) *Unusable {
	if m == nil {
		m = NewMetrics(nil)
	}
	return &Unusable{kind: kind, log: l, metrics: m, reported: make(map[string]platform.Revision)}
}

// Report records that an object cannot be used. Of those without a name, which nothing tells apart, only
// the first one is recorded.
func (u *Unusable) Report(o platform.Object, reason error) {
	if last, known := u.reported[o.Name]; known && (last == o.Revision || o.Name == "") {
		return
	}
	u.reported[o.Name] = o.Revision
	u.metrics.unusableObjects.WithLabelValues(string(u.kind)).Inc()
	u.log.Warn("Ignoring an object that cannot be used.", "kind", u.kind, "name", o.Name, "revision", o.Revision.Number(), "error", reason)
}

// Forget removes the record of an object that was removed or has become usable.
func (u *Unusable) Forget(name string) { delete(u.reported, name) }

// Retain removes the records of all objects but those listed.
func (u *Unusable) Retain(listed []platform.Object) {
	if len(u.reported) == 0 {
		return
	}
	kept := make(map[string]platform.Revision)
	for _, o := range listed {
		if revision, known := u.reported[o.Name]; known {
			kept[o.Name] = revision
		}
	}
	u.reported = kept
}
