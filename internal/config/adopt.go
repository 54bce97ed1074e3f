package config

import (
	"fmt"

	"github.com/topazrock/topazrock/internal/document"
)

// adoptVersion makes a version current if it is higher than the current one and
// valid, and then queues it for pushing to other instances.
func (s *Store) adoptVersion(name string, e Envelope, from Source) AdoptResult {
	result := s.installVersion(name, e)
	s.metrics.arrivals.WithLabelValues(string(from), string(result)).Inc()
	switch result {
	case VersionAdopted:
		s.log.Info("Document version is now current.", "service", name, "version", e.Version, "by", e.By, "from", from)
		s.queuePush(name)
	case VersionLower:
		s.log.Warn("Ignored a lower document version.", "service", name, "version", e.Version, "from", from)
	case VersionDiverged:
		s.log.Error("Two changes have the same version. The current one is kept.",
			"service", name, "version", e.Version, "ignored", e.ID, "from", from)
	}
	return result
}

func (s *Store) installVersion(name string, e Envelope) AdoptResult {
	if result, done := s.classifyChange(name, e.Change); done {
		return result
	}
	service, err := parseDocument(name, e.Text)
	if err != nil {
		s.rejectVersion(name, e.Change, err)
		return VersionInvalid
	}
	s.adoptMu.Lock()
	defer s.adoptMu.Unlock()
	// Another version may have become current while this one was parsed.
	if result, done := s.classifyChange(name, e.Change); done {
		return result
	}
	a := Applied{Name: name, Envelope: e, Service: service}
	s.mu.Lock()
	s.table.putDocument(a)
	delete(s.rejected, name)
	s.mu.Unlock()
	s.metrics.version.WithLabelValues(name).Set(float64(e.Version))
	for _, f := range s.subscribers {
		f(a)
	}
	return VersionAdopted
}

// classifyChange compares an arriving change with the current version. done is
// false if the change is higher and its text still needs to be parsed.
func (s *Store) classifyChange(name string, c Change) (result AdoptResult, done bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	current := s.table.documents[name].Change
	switch {
	case c.Version < current.Version:
		return VersionLower, true
	case c.Version == current.Version && c.ID != current.ID:
		return VersionDiverged, true
	case c.Version == current.Version:
		return VersionKnown, true
	case s.rejected[name] == c:
		return VersionInvalid, true
	default:
		return VersionAdopted, false
	}
}

// parseDocument parses and validates a document's text and checks that the
// document has the name under which it is stored.
func parseDocument(name, text string) (*document.Service, error) {
	service, err := document.Parse(name+".ini", []byte(text))
	if err != nil {
		return nil, err
	}
	if service.Name != name {
		return nil, fmt.Errorf("%w: %s", errWrongName, service.Name)
	}
	return service, nil
}

// rejectVersion records a version that is not valid. The current version is
// kept: an invalid document must not take a service down.
func (s *Store) rejectVersion(name string, c Change, err error) {
	s.mu.Lock()
	if s.rejected[name].Version <= c.Version {
		s.rejected[name] = c
	}
	s.mu.Unlock()
	s.log.Error("Rejected an invalid document.", "service", name, "version", c.Version, "error", err)
}
