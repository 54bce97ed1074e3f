package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/topazrock/topazrock/internal/platform"
)

// faultsRequest is the body of POST /v1/faults.
type faultsRequest struct {
	Outage         bool `json:"outage"`
	Silent         bool `json:"silent"`
	DeafWatches    bool `json:"deaf_watches"`
	DelayMS        int  `json:"delay_ms"`
	LoseAnswers    int  `json:"lose_answers"`
	LateChanges    int  `json:"late_changes"`
	LateByMS       int  `json:"late_by_ms"`
	InventoryLagMS int  `json:"inventory_lag_ms"`
}

// Handler serves a store over the platform's published HTTP API, plus endpoints that
// set its faults and inventory and report its call counts. When a fault loses the
// response to a change, the connection is closed without a response.
func Handler(s *Store) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{kind}/{name}", s.serveGet)
	mux.HandleFunc("GET /v1/objects/{kind}", s.serveList)
	mux.HandleFunc("POST /v1/objects/{kind}", s.servePut)
	mux.HandleFunc("PUT /v1/objects/{kind}/{name}", s.servePut)
	mux.HandleFunc("DELETE /v1/objects/{kind}/{name}", s.serveDelete)
	mux.HandleFunc("PUT /v1/raw/{kind}/{name}", s.servePutRaw)
	mux.HandleFunc("PUT /v1/inventory", s.serveSetInventory)
	mux.HandleFunc("POST /v1/faults", s.serveFaults)
	mux.HandleFunc("GET /v1/calls", func(w http.ResponseWriter, _ *http.Request) { writeReply(w, s.Calls(), nil) })
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mux.ServeHTTP(&eraWriter{ResponseWriter: w, store: s}, r)
	})
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	o, _, err := s.get(r.Context(), requestedKind(r), r.PathValue("name"))
	if err != nil {
		writeReply(w, nil, err)
		return
	}
	body, err := s.appendObject(nil, o)
	writeReply(w, rawBody(body), err)
}

// serveList serves a list, or a watch if the query contains Watch.
func (s *Store) serveList(w http.ResponseWriter, r *http.Request) {
	if r.FormValue("Watch") != "" {
		s.serveWatch(w, r)
		return
	}
	objects, revision, err := s.listWithInventory(r.Context(), requestedKind(r))
	if err != nil {
		writeReply(w, nil, err)
		return
	}
	after := r.FormValue("after")
	objects = slices.DeleteFunc(objects, func(o platform.Object) bool { return o.Name <= after })
	hasMore := len(objects) > pageSize
	body, err := s.appendList([]byte(`{"items":`), objects[:min(len(objects), pageSize)], s.appendObject)
	writeReply(w, rawBody(fmt.Appendf(body, `,"HasMore":%t,"StoreRevision":%d}`, hasMore, revision.Number())), err)
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.FormValue("Watch"), 10, 64)
	if err != nil {
		http.Error(w, "Watch must be a revision", http.StatusBadRequest)
		return
	}
	wait := defaultWait
	if ms, err := strconv.Atoi(r.FormValue("WaitMs")); err == nil {
		wait = time.Duration(ms) * time.Millisecond
	}
	objects, revision, err := s.watch(r.Context(), requestedKind(r), after, wait)
	if err != nil {
		writeReply(w, nil, err)
		return
	}
	body, err := s.appendList([]byte(`{"events":`), objects, func(b []byte, o platform.Object) ([]byte, error) {
		b, err := s.appendObject(append(b, `{"Object":`...), o)
		return fmt.Appendf(b, `,"Removed":%t}`, o.Removed), err
	})
	writeReply(w, rawBody(fmt.Appendf(body, `,"StoreRevision":%d}`, revision.Number())), err)
}

// servePut creates or replaces an object.
func (s *Store) servePut(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 2*platform.MaxValueSize))
	if err != nil {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	var o object
	if err := json.Unmarshal(body, &o); err != nil || o.Meta.Name == "" {
		http.Error(w, "an object with meta and spec is needed", http.StatusBadRequest)
		return
	}
	if r.Method == http.MethodPost {
		o.Meta.Revision = 0
	}
	s.setRaw(requestedKind(r), o.Meta.Name, false)
	stored, _, err := s.put(r.Context(), requestedKind(r), o.Meta.Name, specValue(requestedKind(r), o.Spec), o.Meta.Revision)
	if errors.Is(err, platform.ErrOutcomeUnknown) {
		panic(http.ErrAbortHandler)
	}
	writeReply(w, toAPIObject(stored), err)
}

func (s *Store) serveDelete(w http.ResponseWriter, r *http.Request) {
	revision, err := strconv.ParseInt(r.FormValue("Revision"), 10, 64)
	if err != nil {
		http.Error(w, "Revision must be a number", http.StatusBadRequest)
		return
	}
	_, err = s.remove(r.Context(), requestedKind(r), r.PathValue("name"), revision)
	writeReply(w, struct{}{}, err)
}

func (s *Store) serveSetInventory(w http.ResponseWriter, r *http.Request) {
	var i platform.Inventory
	if err := json.NewDecoder(r.Body).Decode(&i); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetInventory(i)
	writeReply(w, i, nil)
}

func (s *Store) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f faultsRequest
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(Faults{
		Outage:              f.Outage,
		Unresponsive:        f.Silent,
		SuppressWatchEvents: f.DeafWatches,
		Delay:               time.Duration(f.DelayMS) * time.Millisecond,
		LoseResponses:       f.LoseAnswers,
		DelayedPuts:         f.LateChanges,
		PutDelay:            time.Duration(f.LateByMS) * time.Millisecond,
		InventoryLag:        time.Duration(f.InventoryLagMS) * time.Millisecond,
	})
	writeReply(w, f, nil)
}

// writeReply writes the JSON body, or the HTTP status that corresponds to the error.
func writeReply(w http.ResponseWriter, body any, err error) {
	raw, isRaw := body.(rawBody)
	switch {
	case err == nil && isRaw:
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(raw)
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(body)
	case errors.Is(err, platform.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, platform.ErrConflict):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.Is(err, platform.ErrCompacted):
		http.Error(w, err.Error(), http.StatusGone)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

// requestedKind returns the object kind in the request path.
func requestedKind(r *http.Request) platform.Kind {
	switch kind := r.PathValue("kind"); kind {
	case "config":
		return platform.KindManifest
	case "servers":
		return platform.KindUpstreams
	default:
		return platform.Kind(strings.TrimPrefix(kind, "topazrock-"))
	}
}
