package config

import (
	"context"

	"github.com/topazrock/topazrock/internal/result"
)

// Highest returns the highest version on the platform or on this instance. While
// the platform is unavailable, that is the current version on this instance.
func (s *Store) Highest(ctx context.Context, name string) (Applied, error) {
	b, err := s.readBase(ctx, name)
	if err != nil {
		if a, ok := s.Current(name); ok {
			return a, nil
		}
		return Applied{}, result.New(result.PlatformUnavailable, "document %s", name).WithCause(err)
	}
	if b.Version == 0 {
		return Applied{}, result.New(result.NotFound, "document %s", name)
	}
	if a, ok := s.Current(name); ok && a.Change == b.Change {
		return a, nil
	}
	service, err := parseDocument(name, b.Text)
	if err != nil {
		s.log.Warn("Stored document is invalid.", "service", name, "version", b.Version, "error", err)
	}
	return Applied{Name: name, Envelope: b.Envelope, Service: service}, nil
}

// History returns a document's changes, newest first.
func (s *Store) History(ctx context.Context, name string) ([]Change, error) {
	a, err := s.Highest(ctx, name)
	if err != nil {
		return nil, err
	}
	return a.changes(), nil
}
