package frontend

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"slices"
	"sync"
)

// headerSize is the size of a message's type and length fields, in bytes.
const headerSize = 5

// initialReadSize is the maximum size of the first read of a message, in bytes. Each further
// read is at most as large as all data received so far.
const initialReadSize = 16 << 10

// readerSize is the size of a pooled read buffer, in bytes.
const readerSize = 4096

var (
	errMessageTooLarge = errors.New("message exceeds the size limit")
	errMalformed       = errors.New("message is malformed")
)

// readerPool holds read buffers. A session uses one only while it has data to read, so
// an idle caller costs no buffer.
var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readerSize) }}

// frame is one encoded message, including its header.
type frame struct {
	kind  byte
	bytes []byte
}

func (f frame) body() []byte { return f.bytes[headerSize:] }

// readFrame reads one message of at most limit bytes, whose type has already been read.
func readFrame(r io.Reader, kind byte, limit int) (frame, error) {
	var header [headerSize]byte
	header[0] = kind
	if _, err := io.ReadFull(r, header[1:]); err != nil {
		return frame{}, err
	}
	length := int(binary.BigEndian.Uint32(header[1:])) + 1
	if length < headerSize {
		return frame{}, errMalformed
	}
	if length > limit {
		return frame{}, errMessageTooLarge
	}
	bytes, err := readRest(r, header[:], length)
	if err != nil {
		return frame{}, err
	}
	return frame{kind: kind, bytes: bytes}, nil
}

// readRest reads the rest of a message of the given length, of which prefix has been
// read. The buffer grows with the data received: otherwise each caller that declares
// a large message and sends nothing would occupy MaxUnit bytes until the message
// timeout.
func readRest(r io.Reader, prefix []byte, length int) ([]byte, error) {
	bytes := append(make([]byte, 0, min(length, initialReadSize)), prefix...)
	for len(bytes) < length {
		start := len(bytes)
		n := min(length-start, max(start, initialReadSize-start))
		bytes = slices.Grow(bytes, n)[:start+n]
		_, err := io.ReadFull(r, bytes[start:])
		if errors.Is(err, io.EOF) && start > len(prefix) {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
	}
	return bytes, nil
}
