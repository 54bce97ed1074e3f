package objectwatch

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/klauspost/compress/zstd"

	"github.com/topazrock/topazrock/internal/platform"
)

const (
	// maxDecodedBytes limits the decoded size of a response, in bytes. It is far above the total
	// size of the objects of any kind.
	maxDecodedBytes = 64 << 20
	// minBaseBytes is the smallest size of a value for which delta encoding is worthwhile, in
	// bytes.
	minBaseBytes = 4 << 10
	// baseDictionaryID is the zstd dictionary ID of the base.
	baseDictionaryID = 1
	// zstdWindow is the window size of the compressor, in bytes. It covers a whole base and a
	// new value of the same size.
	zstdWindow = 2 * platform.MaxValueSize
)

var errDecode = errors.New("objectwatch: the response cannot be decoded")

// objectHeader is an object without its value, and the value's length. The response that contains
// it names the era of its revision.
type objectHeader struct {
	Kind     platform.Kind `json:"kind"`
	Name     string        `json:"name"`
	Version  int64         `json:"version"`
	Revision int64         `json:"revision"`
	Removed  bool          `json:"removed,omitempty"`
	Length   int           `json:"length"`
}

func newObjectHeader(o platform.Object) objectHeader {
	return objectHeader{Kind: o.Kind, Name: o.Name, Version: o.Version.Number(), Revision: o.Revision.Number(), Removed: o.Removed, Length: len(o.Value)}
}

// object returns the object that a header in a response of an era describes, without its value.
func (h objectHeader) object(era int64) platform.Object {
	return platform.Object{Kind: h.Kind, Name: h.Name, Version: platform.NewRevision(era, h.Version), Revision: platform.NewRevision(era, h.Revision), Removed: h.Removed}
}

// encodeObjects encodes objects for the transfer between instances: a reader on a small machine
// sends a manifest of some hundred kilobytes to all instances of its failure domain at once.
// With a base, whatever the values share with it is left out, so that a change of a large object
// costs about as much as the part that changed.
func encodeObjects(objects []platform.Object, base []byte) ([]byte, error) {
	payload, err := marshalObjects(objects)
	if err != nil {
		return nil, err
	}
	if len(base) == 0 {
		return deflate(payload)
	}
	w, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(zstdWindow),
		zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderDictRaw(baseDictionaryID, base))
	if err != nil {
		return nil, err
	}
	defer w.Close()
	return w.EncodeAll(payload, nil), nil
}

// decodeObjects reverses encodeObjects with the same base, for a response of the given era.
func decodeObjects(encoded, base []byte, era int64) ([]platform.Object, error) {
	if len(encoded) == 0 {
		return nil, nil
	}
	var payload []byte
	var err error
	if len(base) == 0 {
		payload, err = inflate(encoded)
	} else {
		payload, err = decompressDelta(encoded, base)
	}
	if err != nil {
		return nil, err
	}
	return unmarshalObjects(payload, era)
}

func decompressDelta(encoded, base []byte) ([]byte, error) {
	r, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(maxDecodedBytes), zstd.WithDecoderDictRaw(baseDictionaryID, base))
	if err != nil {
		return nil, err
	}
	defer r.Close()
	return r.DecodeAll(encoded, nil)
}

// marshalObjects writes the length of the JSON headers, the headers, and then the raw values.
func marshalObjects(objects []platform.Object) ([]byte, error) {
	headers := make([]objectHeader, len(objects))
	size := 0
	for i, o := range objects {
		headers[i] = newObjectHeader(o)
		size += len(o.Value)
	}
	headerJSON, err := json.Marshal(headers)
	if err != nil {
		return nil, err
	}
	payload := binary.AppendUvarint(make([]byte, 0, len(headerJSON)+size+binary.MaxVarintLen64), uint64(len(headerJSON)))
	payload = append(payload, headerJSON...)
	for _, o := range objects {
		payload = append(payload, o.Value...)
	}
	return payload, nil
}

// unmarshalObjects reverses marshalObjects.
func unmarshalObjects(payload []byte, era int64) ([]platform.Object, error) {
	length, n := binary.Uvarint(payload)
	if n <= 0 || length > uint64(len(payload)-n) {
		return nil, errDecode
	}
	values := payload[n+int(length):]
	var headers []objectHeader
	if err := json.Unmarshal(payload[n:n+int(length)], &headers); err != nil {
		return nil, fmt.Errorf("%w: %w", errDecode, err)
	}
	objects := make([]platform.Object, len(headers))
	for i, h := range headers {
		if h.Length < 0 || h.Length > len(values) {
			return nil, errDecode
		}
		objects[i] = h.object(era)
		objects[i].Value = values[:h.Length:h.Length]
		values = values[h.Length:]
	}
	return objects, nil
}

func deflate(payload []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(payload); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

func inflate(encoded []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(encoded))
	defer r.Close()
	return io.ReadAll(io.LimitReader(r, maxDecodedBytes))
}
