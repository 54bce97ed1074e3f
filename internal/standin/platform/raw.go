package platform

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/topazrock/topazrock/internal/platform"
)

// rawBody is a response body that is written as it is. It may hold what encoding/json would not write.
type rawBody []byte

// rawName identifies an object whose specification was stored by another writer and is served as it is.
type rawName struct {
	kind platform.Kind
	name string
}

// servePutRaw stores the request's body as the specification of an object, whether or not it is JSON.
func (s *Store) servePutRaw(w http.ResponseWriter, r *http.Request) {
	spec, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxValueSize))
	if err != nil {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	kind, name := requestedKind(r), r.PathValue("name")
	current, _, err := s.get(r.Context(), kind, name)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		writeReply(w, nil, err)
		return
	}
	s.setRaw(kind, name, true)
	_, _, err = s.put(r.Context(), kind, name, spec, current.Version.Number())
	writeReply(w, struct{}{}, err)
}

// setRaw sets whether an object's specification is served as it is.
func (s *Store) setRaw(kind platform.Kind, name string, raw bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.raw[rawName{kind, name}] = raw
}

func (s *Store) isRaw(o platform.Object) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.raw[rawName{o.Kind, o.Name}]
}

// appendObject appends the JSON form of an object.
func (s *Store) appendObject(b []byte, o platform.Object) ([]byte, error) {
	p := toAPIObject(o)
	if s.isRaw(o) {
		p.Spec = o.Value
	}
	metadata, err := json.Marshal(p.Meta)
	if err != nil {
		return nil, err
	}
	b = append(append(b, `{"meta":`...), metadata...)
	b = append(b, `,"spec":`...)
	if len(p.Spec) == 0 {
		p.Spec = json.RawMessage("null")
	}
	return append(append(b, p.Spec...), '}'), nil
}

// appendList appends a JSON array with an element for each object.
func (s *Store) appendList(b []byte, objects []platform.Object, appendElement func(b []byte, o platform.Object) ([]byte, error)) ([]byte, error) {
	b = append(b, '[')
	for i, o := range objects {
		if i > 0 {
			b = append(b, ',')
		}
		var err error
		if b, err = appendElement(b, o); err != nil {
			return nil, err
		}
	}
	return append(b, ']'), nil
}
