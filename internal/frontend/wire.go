package frontend

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"slices"
	"sync"
)

// headerSize is the size of a message's type and length, in bytes.
const headerSize = 5

// firstRead is how much of a message is read at first, in bytes; then as much
// again as has arrived.
const firstRead = 16 << 10

// readerSize is the size of a pooled read buffer, in bytes.
const readerSize = 4096

var (
	errMessageTooLarge = errors.New("message is larger than the bound")
	errMalformed       = errors.New("message is malformed")
)

// readers holds buffers that sessions use only while they have something to
// read: an idle caller costs no buffer.
var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readerSize) }}

// frame is one message as it came: the whole bytes, header included.
type frame struct {
	kind  byte
	bytes []byte
}

func (f frame) body() []byte { return f.bytes[headerSize:] }

// readFrame reads one message of at most limit bytes, whose type was read.
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

// readRest reads a message up to its length, behind what is there of it. Memory
// follows what has arrived: callers that claim large messages and send nothing
// would otherwise hold the bound of a unit each until the message timeout.
func readRest(r io.Reader, begun []byte, length int) ([]byte, error) {
	bytes := append(make([]byte, 0, min(length, firstRead)), begun...)
	for len(bytes) < length {
		start := len(bytes)
		n := min(length-start, max(start, firstRead-start))
		bytes = slices.Grow(bytes, n)[:start+n]
		_, err := io.ReadFull(r, bytes[start:])
		if errors.Is(err, io.EOF) && start > len(begun) {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
	}
	return bytes, nil
}
