package objectwatch

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"time"

	"github.com/topazrock/topazrock/internal/platform"
	"github.com/topazrock/topazrock/internal/result"
)

const (
	// methodList and methodAfter ask an instance for what its feed of a kind holds, and
	// for what came after a revision; methodProof for how far it goes, and since when.
	methodList  = "objectwatch.list"
	methodAfter = "objectwatch.after"
	methodProof = "objectwatch.proof"
)

// question asks for a kind, from a revision on.
type question struct {
	Kind  platform.Kind `json:"kind"`
	After int64         `json:"after,omitempty"`
}

// answer is what a feed holds. Compacted says that it does not reach back so far.
type answer struct {
	Objects   packed `json:"objects,omitempty"`
	Revision  int64  `json:"revision"`
	Compacted bool   `json:"compacted,omitempty"`
	// AgeMS is how long ago the platform showed that this is all, in milliseconds.
	AgeMS int64 `json:"age_ms"`
}

// age is how long ago the platform showed that the answer is all there is.
func (a answer) age() time.Duration { return time.Duration(a.AgeMS) * time.Millisecond }

// errNoFeed says that this instance cannot tell.
var errNoFeed = result.New(result.NotReady, "the platform is not followed here")

// packed is a list of objects that travels compressed: a reader on a small machine passes a
// manifest of some hundred kilobytes on to all instances of its failure domain at once.
type packed []platform.Object

// MarshalJSON implements json.Marshaler.
func (p packed) MarshalJSON() ([]byte, error) {
	plain, err := json.Marshal([]platform.Object(p))
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(plain); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return json.Marshal(b.Bytes())
}

// maxUnpacked bounds what an answer may hold, in bytes: far more than any kind has.
const maxUnpacked = 64 << 20

// UnmarshalJSON implements json.Unmarshaler.
func (p *packed) UnmarshalJSON(text []byte) error {
	var deflated []byte
	if err := json.Unmarshal(text, &deflated); err != nil {
		return err
	}
	r := flate.NewReader(bytes.NewReader(deflated))
	defer r.Close()
	plain, err := io.ReadAll(io.LimitReader(r, maxUnpacked))
	if err != nil {
		return err
	}
	return json.Unmarshal(plain, (*[]platform.Object)(p))
}
