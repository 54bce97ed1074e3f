package platform

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/topazrock/topazrock/internal/platform"
)

// objectList is the body of list and watch answers.
type objectList struct {
	Objects  []platform.Object `json:"objects"`
	Revision int64             `json:"revision"`
}

// faultSwitches is the body of POST /v1/faults.
type faultSwitches struct {
	Outage         bool `json:"outage"`
	DelayMS        int  `json:"delay_ms"`
	LoseAnswers    int  `json:"lose_answers"`
	InventoryLagMS int  `json:"inventory_lag_ms"`
}

// Handler serves a store over HTTP. A Put whose answer is lost takes effect and
// then closes the connection with no answer.
func Handler(s *Store) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{kind}/{name}", s.serveGet)
	mux.HandleFunc("GET /v1/objects/{kind}", s.serveList)
	mux.HandleFunc("PUT /v1/objects/{kind}/{name}", s.servePut)
	mux.HandleFunc("GET /v1/watch/{kind}", s.serveWatch)
	mux.HandleFunc("GET /v1/inventory", s.serveInventory)
	mux.HandleFunc("PUT /v1/inventory", s.serveSetInventory)
	mux.HandleFunc("POST /v1/faults", s.serveFaults)
	mux.HandleFunc("GET /v1/calls", func(w http.ResponseWriter, _ *http.Request) { reply(w, s.Calls(), nil) })
	return mux
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	o, err := s.Get(r.Context(), platform.Kind(r.PathValue("kind")), r.PathValue("name"))
	reply(w, o, err)
}

func (s *Store) serveList(w http.ResponseWriter, r *http.Request) {
	objects, revision, err := s.List(r.Context(), platform.Kind(r.PathValue("kind")))
	reply(w, objectList{objects, revision}, err)
}

func (s *Store) servePut(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseInt(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil {
		http.Error(w, "If-Match must name a version", http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxValueSize))
	if err != nil {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	o, err := s.Put(r.Context(), platform.Kind(r.PathValue("kind")), r.PathValue("name"), value, version)
	if errors.Is(err, platform.ErrOutcomeUnknown) {
		panic(http.ErrAbortHandler)
	}
	reply(w, o, err)
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.FormValue("after"), 10, 64)
	if err != nil {
		http.Error(w, "after must be a revision", http.StatusBadRequest)
		return
	}
	wait := defaultWait
	if ms, err := strconv.Atoi(r.FormValue("wait_ms")); err == nil {
		wait = time.Duration(ms) * time.Millisecond
	}
	objects, revision, err := s.watch(r.Context(), platform.Kind(r.PathValue("kind")), after, wait)
	if objects == nil {
		objects = []platform.Object{}
	}
	reply(w, objectList{objects, revision}, err)
}

func (s *Store) serveInventory(w http.ResponseWriter, r *http.Request) {
	i, err := s.Inventory(r.Context())
	reply(w, i, err)
}

func (s *Store) serveSetInventory(w http.ResponseWriter, r *http.Request) {
	var i platform.Inventory
	if err := json.NewDecoder(r.Body).Decode(&i); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetInventory(i)
	reply(w, i, nil)
}

func (s *Store) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f faultSwitches
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(Faults{
		Outage:       f.Outage,
		Delay:        time.Duration(f.DelayMS) * time.Millisecond,
		LoseAnswers:  f.LoseAnswers,
		InventoryLag: time.Duration(f.InventoryLagMS) * time.Millisecond,
	})
	reply(w, f, nil)
}

// reply writes a JSON body, or the status that stands for an error.
func reply(w http.ResponseWriter, body any, err error) {
	switch {
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
