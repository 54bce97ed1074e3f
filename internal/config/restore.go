package config

import (
	"context"
	"time"

	"github.com/topazrock/topazrock/internal/platform"
)

const (
	// restoreBatchSize is how many documents one relay brings back between two
	// lists, and restoreInterval the time between them: a platform that has lost
	// everything must not meet all relays writing everything at once.
	restoreBatchSize = 20
	restoreInterval  = time.Second
)

// restore stores documents in force that the platform holds in a lower version
// or not at all. A platform whose store was lost or set back would otherwise
// hand old versions to new instances. The updates are conditional, so that
// relays that restore at the same moment, or an operator who changes the
// document meanwhile, cannot undo one another. It reports whether there was
// something to restore.
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
		s.log.Warn("The platform held a lower version. The one in force is stored again.",
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
