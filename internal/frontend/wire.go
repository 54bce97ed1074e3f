package frontend

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"sync"
)

// headerSize is the size of a message's type and length, in bytes.
const headerSize = 5

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
	bytes := make([]byte, length)
	copy(bytes, header[:])
	if _, err := io.ReadFull(r, bytes[headerSize:]); err != nil {
		return frame{}, err
	}
	return frame{kind: kind, bytes: bytes}, nil
}
