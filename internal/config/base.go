package config

import (
	"context"
	"errors"

	"github.com/topazrock/topazrock/internal/platform"
)

// baseDocument is the document that a change is based on.
type baseDocument struct {
	Envelope
	// objectVersion is the version that the platform assigned to the object.
	// Conditional updates refer to it.
	objectVersion platform.Revision
}

// readBase reads a document from the platform. If the current version on this
// instance is higher because the platform lost its store, that version is the
// base, and the next update brings it back to the platform.
func (s *Store) readBase(ctx context.Context, name string) (baseDocument, error) {
	var b baseDocument
	o, err := s.options.API.Get(ctx, platform.KindService, name)
	switch {
	case errors.Is(err, platform.ErrNotFound):
	case err != nil:
		return b, err
	default:
		b.objectVersion = o.Version
		if b.Envelope, err = decodeObject(o); err != nil {
			s.log.Error("Cannot decode the stored document.", "service", name, "error", err)
		}
	}
	if current, ok := s.Current(name); ok && current.Version > b.Version {
		b.Envelope = current.Envelope
	}
	return b, nil
}

// putEnvelope stores an envelope if the object still has the version that was
// read.
func (s *Store) putEnvelope(ctx context.Context, name string, e Envelope, objectVersion platform.Revision) error {
	value, err := e.encode()
	if err != nil {
		return err
	}
	_, err = s.options.API.Put(ctx, platform.KindService, name, value, objectVersion)
	return err
}
