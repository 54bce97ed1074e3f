package config

import (
	"context"
	"time"

	"github.com/topazrock/topazrock/internal/platform"
)

const (
	// restoreBatchSize is how many documents one relay restores between two
	// lists, and restoreInterval is the time between them. They keep all relays
	// from writing all documents at once to a platform that has lost
	// everything.
	restoreBatchSize = 20
	restoreInterval  = time.Second
)

// restoreDocuments stores the current version of documents that the platform
// lacks or has in a lower version. Without this, a platform whose store was lost
// or reset would give old versions to new instances. The updates are conditional,
// so that relays that restore concurrently, or an operator who changes the
// document in the meantime, cannot overwrite each other. It reports whether any
// document had to be restored.
func (s *Store) restoreDocuments(ctx context.Context, objects []platform.Object) bool {
	stored := make(map[string]baseDocument, len(objects))
	for _, o := range objects {
		e, err := decodeObject(o)
		if err != nil {
			e.Version = 0
		}
		stored[o.Name] = baseDocument{Envelope: e, objectVersion: o.Version}
	}
	var outdated []Applied
	for _, a := range s.All() {
		if stored[a.Name].Version < a.Version {
			outdated = append(outdated, a)
		}
	}
	s.shuffleDocuments(outdated)
	for _, a := range outdated[:min(len(outdated), restoreBatchSize)] {
		err := s.putEnvelope(ctx, a.Name, a.Envelope, stored[a.Name].objectVersion)
		s.metrics.restores.WithLabelValues(outcomeLabel(err)).Inc()
		s.log.Warn("The platform has a lower version. Storing the current one again.",
			"service", a.Name, "stored", stored[a.Name].Version, "in force", a.Version, "error", err)
	}
	return len(outdated) > 0
}

func (s *Store) shuffleDocuments(list []Applied) {
	s.randMu.Lock()
	defer s.randMu.Unlock()
	s.options.Rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

func outcomeLabel(err error) string {
	if err != nil {
		return "failed"
	}
	return "done"
}
