package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/topazrock/topazrock/internal/platform"
)

// maxHistory bounds the changes that an envelope remembers.
const maxHistory = 50

// Envelope is the stored value of a document.
type Envelope struct {
	// Change is the change that made this version. Version 0 says that there is
	// no document: such an envelope only blocks a late conditional update.
	Change
	Text string `json:"text"`
	// History holds the changes before this one, the newest first.
	History []Change `json:"history,omitempty"`
}

// next returns the envelope that follows e by a change.
func (e Envelope) withChange(c Change, text string) Envelope {
	n := Envelope{Change: c, Text: text}
	if e.Version > 0 {
		n.History = append(n.History, e.Change)
	}
	n.History = append(n.History, e.History...)
	n.History = n.History[:min(len(n.History), maxHistory)]
	return n
}

// changes returns this version's change and those before it, the newest first.
func (e Envelope) changes() []Change {
	if e.Version == 0 {
		return nil
	}
	return append([]Change{e.Change}, e.History...)
}

// find returns the change that made a version; false when it is not remembered.
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
	w := json.NewEncoder(&b)
	w.SetEscapeHTML(false)
	if err := w.Encode(e); err != nil {
		return nil, err
	}
	if b.Len() > platform.MaxValueSize {
		return nil, errValueTooLarge
	}
	return b.Bytes(), nil
}

// decodeObject reads a stored object. A value that is no envelope is the text
// of a document that was stored by other means; the object's version stands
// for the document's.
func decodeObject(o platform.Object) (Envelope, error) {
	value := bytes.TrimSpace(o.Value)
	if !bytes.HasPrefix(value, []byte("{")) {
		return Envelope{Change: Change{Version: o.Version, By: "platform"}, Text: string(o.Value)}, nil
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
