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

// largestRead notes the largest buffer that it was given.
type largestRead struct {
	io.Reader
	size int
}

func (l *largestRead) Read(p []byte) (int, error) {
	l.size = max(l.size, len(p))
	return l.Reader.Read(p)
}

func claim(length int) []byte { return binary.BigEndian.AppendUint32(nil, uint32(length)) }

// A caller claims a message of 16 MiB, sends a hundred bytes, and stalls. A
// hundred such callers would hold 1.6 GB until their message timeout, and the
// instance fail for all others. What is set aside has to follow what has come.
func TestClaimedLengthSetsNoMemoryAside(t *testing.T) {
	is := is.New(t)
	r := &largestRead{Reader: bytes.NewReader(append(claim(DefaultMaxUnit-1), make([]byte, 100)...))}
	_, err := readFrame(r, 'Q', DefaultMaxUnit)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	is.True(r.size <= firstRead)
}

// A message that ends between two reads is cut short like any other: a caller
// that hung up before its message began is told apart from it.
func TestMessagesOfManyReads(t *testing.T) {
	is := is.New(t)
	for _, length := range []int{headerSize, firstRead - 1, firstRead, firstRead + 1, 2 * firstRead, 2*firstRead + 1, 1 << 20} {
		body := make([]byte, length-headerSize)
		for i := range body {
			body[i] = byte(i % 251)
		}
		whole := append(claim(length-1), body...)
		f, err := readFrame(bytes.NewReader(whole), 'Q', DefaultMaxUnit)
		is.NoErr(err)
		is.Equal(len(f.bytes), length)
		is.True(bytes.Equal(f.body(), body))
		for _, cut := range []int{firstRead - 1, length - 2} {
			if cut <= headerSize || cut >= len(whole) {
				continue
			}
			_, err = readFrame(bytes.NewReader(whole[:cut]), 'Q', DefaultMaxUnit)
			is.True(errors.Is(err, io.ErrUnexpectedEOF))
		}
	}
}

// Somebody without a password answers the request to authenticate with a message
// that claims 512 MiB. It is refused by its length; nothing is read or set aside
// for its body.
func TestClaimBeforeAuthenticationIsRefused(t *testing.T) {
	is := is.New(t)
	r := &largestRead{Reader: bytes.NewReader(append([]byte{'p'}, claim(512<<20)...))}
	_, err := receiveInitial(newBackend(struct {
		io.Reader
		io.Writer
	}{r, io.Discard}))
	var tooLarge *pgproto3.ExceededMaxBodyLenErr
	is.True(errors.As(err, &tooLarge))
	is.True(r.size <= maxStartupBody)
}
