package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/topazrock/topazrock/internal/platform"
)

// maxHistory is the maximum number of past changes in an envelope.
const maxHistory = 50

// Envelope is the stored value of a document.
type Envelope struct {
	// Change is the change that created this version. Version 0 means that the
	// document does not exist: such an envelope is stored only to make a
	// delayed conditional update fail.
	Change
	Text string `json:"text"`
	// History holds the previous changes, newest first.
	History []Change `json:"history,omitempty"`
}

// withChange returns the envelope of the version that follows e.
func (e Envelope) withChange(c Change, text string) Envelope {
	n := Envelope{Change: c, Text: text}
	if e.Version > 0 {
		n.History = append(n.History, e.Change)
	}
	n.History = append(n.History, e.History...)
	n.History = n.History[:min(len(n.History), maxHistory)]
	return n
}

// changes returns this version's change and the previous ones, newest first.
func (e Envelope) changes() []Change {
	if e.Version == 0 {
		return nil
	}
	return append([]Change{e.Change}, e.History...)
}

// findChange returns the change that created a version, or false if the history
// does not contain it.
func (e Envelope) findChange(version int64) (Change, bool) {
	all := e.changes()
	i := slices.IndexFunc(all, func(c Change) bool { return c.Version == version })
	if i < 0 {
		return Change{}, false
	}
	return all[i], true
}

func (e Envelope) encode() ([]byte, error) {
	var b bytes.Buffer
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(e); err != nil {
		return nil, err
	}
	if b.Len() > platform.MaxValueSize {
		return nil, errValueTooLarge
	}
	return b.Bytes(), nil
}

// decodeObject decodes a stored object. A value that is not an envelope is the
// text of a document that was stored by other means; its version is the
// object's, era included, so that it never falls.
func decodeObject(o platform.Object) (Envelope, error) {
	value := bytes.TrimSpace(o.Value)
	if len(value) == 0 {
		return Envelope{}, fmt.Errorf("%w: %w", errBadEnvelope, platform.ErrUnreadable)
	}
	if !bytes.HasPrefix(value, []byte("{")) {
		return Envelope{Change: Change{Version: int64(o.Version), By: "platform"}, Text: string(o.Value)}, nil
	}
	var e Envelope
	if err := json.Unmarshal(value, &e); err != nil {
		return Envelope{}, fmt.Errorf("%w: %w", errBadEnvelope, err)
	}
	if e.Version < 0 {
		return Envelope{}, errBadEnvelope
	}
	return e, nil
}
