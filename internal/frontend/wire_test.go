package frontend

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
)

// sizeRecorder records the size of the largest buffer passed to Read.
type sizeRecorder struct {
	io.Reader
	maxSize int
}

func (r *sizeRecorder) Read(p []byte) (int, error) {
	r.maxSize = max(r.maxSize, len(p))
	return r.Reader.Read(p)
}

func lengthField(length int) []byte { return binary.BigEndian.AppendUint32(nil, uint32(length)) }

// A caller declares a message of 16 MiB, sends a hundred bytes, and stalls. A
// hundred such callers would occupy 1.6 GB until their message timeout, and the
// instance would fail for all others. The allocation must depend on the data received.
func TestReadFrameAllocatesOnlyForReceivedData(t *testing.T) {
	is := is.New(t)
	r := &sizeRecorder{Reader: bytes.NewReader(append(lengthField(DefaultMaxUnit-1), make([]byte, 100)...))}
	_, err := readFrame(r, 'Q', DefaultMaxUnit)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	is.True(r.maxSize <= initialReadSize)
}

// Messages that take one or several reads must be returned whole. One that is truncated
// between two reads must give ErrUnexpectedEOF, as anywhere else in the message: EOF means
// that the caller disconnected before a message began.
func TestReadFrameWithSeveralReads(t *testing.T) {
	is := is.New(t)
	for _, length := range []int{headerSize, initialReadSize - 1, initialReadSize, initialReadSize + 1, 2 * initialReadSize, 2*initialReadSize + 1, 1 << 20} {
		body := make([]byte, length-headerSize)
		for i := range body {
			body[i] = byte(i % 251)
		}
		whole := append(lengthField(length-1), body...)
		f, err := readFrame(bytes.NewReader(whole), 'Q', DefaultMaxUnit)
		is.NoErr(err)
		is.Equal(len(f.bytes), length)
		is.True(bytes.Equal(f.body(), body))
		for _, cut := range []int{initialReadSize - 1, length - 2} {
			if cut <= headerSize || cut >= len(whole) {
				continue
			}
			_, err = readFrame(bytes.NewReader(whole[:cut]), 'Q', DefaultMaxUnit)
			is.True(errors.Is(err, io.ErrUnexpectedEOF))
		}
	}
}

// An unauthenticated caller replies to the authentication request with a message that
// declares 512 MiB. It is rejected because of its length; no memory is allocated for
// its body, and the body is not read.
func TestOversizedMessageBeforeAuthenticationIsRejected(t *testing.T) {
	is := is.New(t)
	r := &sizeRecorder{Reader: bytes.NewReader(append([]byte{'p'}, lengthField(512<<20)...))}
	_, err := receiveInitial(newBackend(struct {
		io.Reader
		io.Writer
	}{r, io.Discard}))
	var tooLarge *pgproto3.ExceededMaxBodyLenErr
	is.True(errors.As(err, &tooLarge))
	is.True(r.maxSize <= maxStartupBody)
}
