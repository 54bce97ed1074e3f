package config

import (
	"context"
	"errors"

	"github.com/topazrock/topazrock/internal/platform"
)

// base is what a change of a document builds on.
type baseDocument struct {
	Envelope
	// object is the version that the platform gives the object; a conditional
	// update names it.
	objectVersion int64
}

// readBase reads a document from the platform. Where a higher version is in
// force here, because the platform lost its store, that version is the base
// and the next update brings it back to the platform.
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
			s.log.Error("Stored value is not readable.", "service", name, "error", err)
		}
	}
	if current, ok := s.Current(name); ok && current.Version > b.Version {
		b.Envelope = current.Envelope
	}
	return b, nil
}

// putEnvelope stores an envelope if the object's version is still the one that
// was read.
func (s *Store) putEnvelope(ctx context.Context, name string, e Envelope, objectVersion int64) error {
	value, err := e.encode()
	if err != nil {
		return err
	}
	_, err = s.options.API.Put(ctx, platform.KindService, name, value, objectVersion)
	return err
}
