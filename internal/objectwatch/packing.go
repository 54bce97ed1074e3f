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
	// maxUnpacked bounds what an answer may hold, in bytes: far more than any kind has.
	maxUnpacked = 64 << 20
	// leastBase is the size from which a value is worth being packed against, in bytes.
	leastBase = 4 << 10
	// baseDictionary numbers the dictionary that a base is for the compressor.
	baseDictionary = 1
	// baseWindow is how far back the compressor looks, in bytes: over a whole base and as
	// much again.
	baseWindow = 2 * platform.MaxValueSize
)

var errUnpack = errors.New("objectwatch: the answer cannot be unpacked")

// header is an object without its value, and the length of that.
type header struct {
	platform.Object
	Length int `json:"length"`
}

// pack encodes objects to travel between instances: a reader on a small machine passes a manifest
// of some hundred kilobytes on to all instances of its failure domain at once. With a base, what
// the values share with it is left out, and a change of a large object costs about what it
// changes.
func pack(objects []platform.Object, base []byte) ([]byte, error) {
	plain, err := join(objects)
	if err != nil {
		return nil, err
	}
	if len(base) == 0 {
		return deflate(plain)
	}
	w, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(baseWindow),
		zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderDictRaw(baseDictionary, base))
	if err != nil {
		return nil, err
	}
	defer w.Close()
	return w.EncodeAll(plain, nil), nil
}

// unpack decodes what pack encoded with the same base.
func unpack(packed, base []byte) ([]platform.Object, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	var plain []byte
	var err error
	if len(base) == 0 {
		plain, err = inflate(packed)
	} else {
		plain, err = unpackOn(packed, base)
	}
	if err != nil {
		return nil, err
	}
	return split(plain)
}

func unpackOn(packed, base []byte) ([]byte, error) {
	r, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(maxUnpacked), zstd.WithDecoderDictRaw(baseDictionary, base))
	if err != nil {
		return nil, err
	}
	defer r.Close()
	return r.DecodeAll(packed, nil)
}

// join writes the objects' headers, and their values behind them as they are.
func join(objects []platform.Object) ([]byte, error) {
	headers := make([]header, len(objects))
	size := 0
	for i, o := range objects {
		headers[i] = header{Object: o, Length: len(o.Value)}
		headers[i].Value = nil
		size += len(o.Value)
	}
	text, err := json.Marshal(headers)
	if err != nil {
		return nil, err
	}
	plain := binary.AppendUvarint(make([]byte, 0, len(text)+size+binary.MaxVarintLen64), uint64(len(text)))
	plain = append(plain, text...)
	for _, o := range objects {
		plain = append(plain, o.Value...)
	}
	return plain, nil
}

// split is the opposite of join.
func split(plain []byte) ([]platform.Object, error) {
	length, n := binary.Uvarint(plain)
	if n <= 0 || length > uint64(len(plain)-n) {
		return nil, errUnpack
	}
	values := plain[n+int(length):]
	var headers []header
	if err := json.Unmarshal(plain[n:n+int(length)], &headers); err != nil {
		return nil, fmt.Errorf("%w: %w", errUnpack, err)
	}
	objects := make([]platform.Object, len(headers))
	for i, h := range headers {
		if h.Length < 0 || h.Length > len(values) {
			return nil, errUnpack
		}
		objects[i] = h.Object
		objects[i].Value = values[:h.Length:h.Length]
		values = values[h.Length:]
	}
	return objects, nil
}

func deflate(plain []byte) ([]byte, error) {
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
	return b.Bytes(), nil
}

func inflate(packed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	defer r.Close()
	return io.ReadAll(io.LimitReader(r, maxUnpacked))
}
