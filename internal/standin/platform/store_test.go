package platform

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/topazrock/topazrock/internal/platform"
)

func put(s *Store, name, value string, version platform.Revision) (platform.Object, error) {
	return s.Put(context.Background(), platform.KindGroup, name, []byte(value), version)
}

func TestConditionalPutAndWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := NewStore()
		o, err := put(s, "a", "1", 0)
		is.NoErr(err)
		is.Equal(o.Version, platform.NewRevision(firstEra, 1))
		_, err = put(s, "a", "2", 0)
		is.Equal(err, platform.ErrConflict)
		time.AfterFunc(time.Second, func() { _, _ = put(s, "b", "1", 0) })
		objects, revision, err := s.Watch(t.Context(), platform.KindGroup, o.Revision)
		is.NoErr(err)
		is.Equal(objects[0].Name, "b")
		start := time.Now()
		objects, _, err = s.Watch(t.Context(), platform.KindGroup, revision)
		is.NoErr(err)
		is.Equal(len(objects), 0)
		is.Equal(time.Since(start), defaultWait)
		s.Compact(platform.KindGroup)
		_, _, err = s.Watch(t.Context(), platform.KindGroup, o.Revision)
		is.Equal(err, platform.ErrCompacted)
		is.Equal(s.Calls()[CallWatch], 3)
	})
}

// A Put whose response is lost returns ErrOutcomeUnknown although the value is stored.
// An outage fails a watch that is already waiting. An inventory becomes visible only
// after InventoryLag.
func TestFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := NewStore()
		s.SetFaults(Faults{LoseResponses: 1})
		_, err := put(s, "a", "1", 0)
		is.Equal(err, platform.ErrOutcomeUnknown)
		o, err := s.Get(t.Context(), platform.KindGroup, "a")
		is.NoErr(err)
		is.Equal(string(o.Value), "1")
		time.AfterFunc(time.Second, func() { s.SetFaults(Faults{Outage: true}) })
		_, _, err = s.Watch(t.Context(), platform.KindGroup, o.Revision)
		is.Equal(err, platform.ErrUnavailable)
		s.SetFaults(Faults{InventoryLag: time.Second})
		s.SetInventory(platform.Inventory{Upstreams: []platform.Upstream{{Address: "x"}}})
		i, err := s.Inventory(t.Context())
		is.NoErr(err)
		is.Equal(len(i.Upstreams), 0)
		<-time.After(time.Second)
		i, err = s.Inventory(t.Context())
		is.NoErr(err)
		is.Equal(len(i.Upstreams), 1)
	})
}

func TestHandler(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(Handler(NewStore()))
	defer server.Close()
	call := func(method, path, body string) (int, string) {
		r, err := http.NewRequestWithContext(t.Context(), method, server.URL+path, strings.NewReader(body))
		is.NoErr(err)
		response, err := server.Client().Do(r)
		if err != nil {
			return 0, ""
		}
		defer response.Body.Close()
		text, err := io.ReadAll(response.Body)
		is.NoErr(err)
		return response.StatusCode, strings.TrimSpace(string(text))
	}
	const kind = "/v1/objects/topazrock-groups"
	code, text := call("POST", kind, `{"meta":{"Name":"a"},"spec":{"value":{"x":1}}}`)
	is.Equal(code, 200)
	is.Equal(text, `{"meta":{"Name":"a","Revision":1},"spec":{"value":{"x":1}}}`)
	code, _ = call("POST", kind, `{"meta":{"Name":"a"},"spec":{"value":1}}`)
	is.Equal(code, 409)
	code, _ = call("PUT", kind+"/a", `{"meta":{"Name":"a","Revision":7},"spec":{"value":1}}`)
	is.Equal(code, 409)
	code, _ = call("PUT", kind+"/a", `half a`)
	is.Equal(code, 400)
	code, _ = call("GET", kind+"/b", "")
	is.Equal(code, 404)
	code, text = call("GET", kind, "")
	is.Equal(code, 200)
	is.Equal(text, `{"items":[{"meta":{"Name":"a","Revision":1},"spec":{"value":{"x":1}}}],"HasMore":false,"StoreRevision":1}`)
	code, text = call("GET", kind+"?Watch=1&WaitMs=1", "")
	is.Equal(code, 200)
	is.Equal(text, `{"events":[],"StoreRevision":1}`)
	code, _ = call("GET", kind+"?Watch=9&WaitMs=1", "")
	is.Equal(code, 410)
	call("POST", "/v1/faults", `{"lose_answers":1}`)
	code, _ = call("PUT", kind+"/a", `{"meta":{"Name":"a","Revision":1},"spec":{"value":2}}`)
	is.Equal(code, 0)
	code, text = call("GET", kind+"/a", "")
	is.Equal(code, 200)
	is.True(strings.Contains(text, `"Revision":2`))
	code, _ = call("DELETE", kind+"/a?Revision=1", "")
	is.Equal(code, 409)
	code, _ = call("DELETE", kind+"/a?Revision=2", "")
	is.Equal(code, 200)
	code, text = call("GET", kind+"?Watch=2&WaitMs=1", "")
	is.Equal(code, 200)
	is.True(strings.Contains(text, `"Removed":true`))
	call("POST", "/v1/faults", `{"outage":true}`)
	code, _ = call("GET", kind, "")
	is.Equal(code, 503)
}

// A delayed Put is applied a second later, unless another Put came first and its version
// condition no longer holds.
func TestLateChangesCheckVersionWhenApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := NewStore()
		s.SetFaults(Faults{DelayedPuts: 2, PutDelay: time.Second})
		_, err := put(s, "a", "1", 0)
		is.Equal(err, platform.ErrOutcomeUnknown)
		_, err = put(s, "b", "1", 0)
		is.Equal(err, platform.ErrOutcomeUnknown)
		_, err = put(s, "b", "2", 0)
		is.NoErr(err)
		time.Sleep(2 * time.Second)
		o, err := s.Get(t.Context(), platform.KindGroup, "a")
		is.NoErr(err)
		is.Equal(string(o.Value), "1")
		o, err = s.Get(t.Context(), platform.KindGroup, "b")
		is.NoErr(err)
		is.Equal(string(o.Value), "2")
	})
}
