package httpclient

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/platform"
)

// silent accepts connections and requests and never answers.
type silent struct{ dialled int }

func (s *silent) Dial(context.Context, string) (net.Conn, error) {
	s.dialled++
	client, server := net.Pipe()
	go io.Copy(io.Discard, server)
	return client, nil
}

// The connection to the platform goes silent: requests leave and no answer
// comes. The caller gets its answer at the bound, for a Put an unknown
// outcome, and the next call opens a new connection.
func TestSilentPlatformEndsAtTheBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := &silent{}
		c := New("http://10.0.0.1:7000", d, 2*time.Second)
		defer c.Close()
		start := time.Now()
		_, err := c.Get(context.Background(), platform.KindService, "a")
		is.True(errors.Is(err, platform.ErrUnavailable))
		is.Equal(time.Since(start), 2*time.Second)
		_, err = c.Put(context.Background(), platform.KindService, "a", []byte("x"), 1)
		is.True(errors.Is(err, platform.ErrOutcomeUnknown))
		is.Equal(d.dialled, 2)
	})
}
