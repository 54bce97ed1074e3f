package httpclient

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/netio"
	"github.com/topazrock/topazrock/internal/platform"
)

const testTimeout = 5 * time.Second

func serve(t *testing.T, h http.HandlerFunc) *Client {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	c := New(s.URL, netio.TCP{}, testTimeout)
	t.Cleanup(c.Close)
	return c
}

func TestPathsAndAnswers(t *testing.T) {
	is := is.New(t)
	c := serve(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.Method + " " + r.URL.EscapedPath() {
		case "GET /v1/objects/services/a%2Fb":
			io.WriteString(w, `{"kind":"services","name":"a/b","version":3,"revision":9,"value":"eA=="}`)
		case "GET /v1/objects/services":
			io.WriteString(w, `{"objects":[{"name":"a","version":1}],"revision":12}`)
		case "GET /v1/watch/services":
			is.Equal(r.URL.Query().Get("after"), "12")
			is.Equal(r.URL.Query().Get("wait_ms"), "20000")
			w.WriteHeader(http.StatusGone)
		case "GET /v1/inventory":
			io.WriteString(w, `{"instances":[{"id":"e1","peer_address":"10.0.0.1:1"}]}`)
		case "PUT /v1/objects/services/a":
			is.Equal(r.Header.Get("If-Match"), `"7"`)
			body, _ := io.ReadAll(r.Body)
			is.Equal(string(body), "text")
			io.WriteString(w, `{"version":8}`)
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	})
	ctx := context.Background()
	o, err := c.Get(ctx, platform.KindService, "a/b")
	is.NoErr(err)
	is.Equal(o, platform.Object{Kind: "services", Name: "a/b", Version: 3, Revision: 9, Value: []byte("x")})
	_, err = c.Get(ctx, platform.KindService, "none")
	is.True(errors.Is(err, platform.ErrNotFound))
	list, revision, err := c.List(ctx, platform.KindService)
	is.NoErr(err)
	is.Equal(len(list), 1)
	is.Equal(revision, int64(12))
	_, _, err = c.Watch(ctx, platform.KindService, 12)
	is.True(errors.Is(err, platform.ErrCompacted))
	inventory, err := c.Inventory(ctx)
	is.NoErr(err)
	is.Equal(inventory.Instances[0].PeerAddress, "10.0.0.1:1")
	stored, err := c.Put(ctx, platform.KindService, "a", []byte("text"), 7)
	is.NoErr(err)
	is.Equal(stored.Version, int64(8))
}

func TestInventoryIsAskedForByTag(t *testing.T) {
	is := is.New(t)
	full := 0
	c := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("If-None-Match") == `"7"` {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		full++
		w.Header().Set("ETag", `"7"`)
		io.WriteString(w, `{"instances":[{"id":"e1"}]}`)
	})
	for range 3 {
		inventory, err := c.Inventory(t.Context())
		is.NoErr(err)
		is.Equal(inventory.Instances[0].ID, "e1")
	}
	is.Equal(full, 1)
}

// The platform answers a Put in each way that it can fail. Only answers that
// prove that nothing was stored may come back as a refusal; a broken or odd
// answer after sending leaves the outcome unknown.
func TestPutNeverTakesALostAnswerForARefusal(t *testing.T) {
	cases := map[string]struct {
		answer http.HandlerFunc
		want   error
	}{
		"conflict":    {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusConflict) }, platform.ErrConflict},
		"unavailable": {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, platform.ErrUnavailable},
		"server error": {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
			platform.ErrOutcomeUnknown},
		"connection cut": {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, platform.ErrOutcomeUnknown},
		"half an answer": {func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, `{"version":`) }, platform.ErrOutcomeUnknown},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := serve(t, tc.answer).Put(context.Background(), platform.KindService, "a", nil, 1)
			is.True(errors.Is(err, tc.want))
		})
	}
}

// Nothing listens at the platform's address. No byte of the Put can have left,
// so the caller is told that the platform was not reached.
func TestRefusedDialIsUnavailable(t *testing.T) {
	is := is.New(t)
	c := New("http://127.0.0.1:1", refusing{}, testTimeout)
	_, err := c.Put(context.Background(), platform.KindService, "a", nil, 1)
	is.True(errors.Is(err, platform.ErrUnavailable))
	_, err = c.Get(context.Background(), platform.KindService, "a")
	is.True(errors.Is(err, platform.ErrUnavailable))
}

type refusing struct{}

func (refusing) Dial(context.Context, string) (net.Conn, error) { return nil, errors.New("refused") }

func TestAnswerSizeIsBounded(t *testing.T) {
	is := is.New(t)
	c := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		chunk := make([]byte, 1<<16)
		for range maxObjectAnswer/len(chunk) + 2 {
			if _, err := w.Write(chunk); err != nil {
				return
			}
		}
	})
	_, err := c.Get(context.Background(), platform.KindService, "a")
	is.True(errors.Is(err, errAnswerTooLarge))
	_, err = c.Put(context.Background(), platform.KindService, "a", make([]byte, platform.MaxValueSize+1), 0)
	is.True(errors.Is(err, ErrTooLarge))
}
