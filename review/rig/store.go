package main

import (
	"encoding/json"
	"net/http"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeObject is one object of the platform's store.
type storeObject struct {
	Meta   storeMeta       `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status,omitempty"`
}

type storeMeta struct {
	Name     string `json:"Name"`
	Revision int64  `json:"Revision"`
}

// storeEvent is one change in the store's history.
type storeEvent struct {
	revision int64
	kind     string
	Object   storeObject
	Removed  bool
}

// store is the platform's store: linearizable, with one revision counter and watches.
type store struct {
	record *record

	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]storeObject
	history  []storeEvent
	changed  chan struct{}
}

func newStore(r *record) *store {
	return &store{record: r, revision: 100, objects: make(map[string]map[string]storeObject), changed: make(chan struct{})}
}

func (s *store) serve(address string) error {
	l, err := listen(address)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(l, s) }()
	return nil
}

const objectsPath = "/v1/objects/"

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, objectsPath)
	if !ok {
		http.NotFound(w, r)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	switch r.Method {
	case http.MethodGet:
		s.get(w, r, kind, name)
	case http.MethodPost, http.MethodPut:
		s.put(w, r, kind, name)
	case http.MethodDelete:
		s.remove(w, r, kind, name)
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request, kind, name string) {
	switch {
	case name != "":
		s.mu.Lock()
		o, ok := s.objects[kind][name]
		s.mu.Unlock()
		if !ok {
			answer(w, http.StatusNotFound, nil)
			return
		}
		answer(w, http.StatusOK, o)
	case r.URL.Query().Has("Watch"):
		s.watch(w, r, kind)
	default:
		s.mu.Lock()
		items := make([]storeObject, 0)
		for _, o := range s.objects[kind] {
			items = append(items, o)
		}
		revision := s.revision
		s.mu.Unlock()
		slices.SortFunc(items, func(a, b storeObject) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
		answer(w, http.StatusOK, map[string]any{"items": items, "HasMore": false, "StoreRevision": revision})
	}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("Watch"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("WaitMs"), 10, 64)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		revision, changed := s.revision, s.changed
		events := make([]map[string]any, 0)
		for _, e := range s.history {
			if e.kind == kind && e.revision > from {
				events = append(events, map[string]any{"Object": e.Object, "Removed": e.Removed})
			}
		}
		s.mu.Unlock()
		if from > revision {
			answer(w, http.StatusGone, nil)
			return
		}
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "StoreRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			answer(w, http.StatusOK, map[string]any{"events": events, "StoreRevision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) put(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o storeObject
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	create := r.Method == http.MethodPost
	if create {
		name = o.Meta.Name
	}
	s.mu.Lock()
	current, exists := s.objects[kind][name]
	switch {
	case create && exists, !create && o.Meta.Revision != 0 && exists && o.Meta.Revision != current.Meta.Revision:
		s.mu.Unlock()
		answer(w, http.StatusConflict, current)
		return
	case !create && !exists:
		s.mu.Unlock()
		answer(w, http.StatusNotFound, nil)
		return
	}
	stored := s.set(kind, name, o.Spec)
	s.mu.Unlock()
	s.record.add("store", "%s %s/%s is revision %d: %s", r.Method, kind, name, stored.Meta.Revision, o.Spec)
	answer(w, http.StatusOK, stored)
}

func (s *store) remove(w http.ResponseWriter, r *http.Request, kind, name string) {
	want, _ := strconv.ParseInt(r.URL.Query().Get("Revision"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	current, exists := s.objects[kind][name]
	switch {
	case !exists:
		answer(w, http.StatusNotFound, nil)
	case want != 0 && want != current.Meta.Revision:
		answer(w, http.StatusConflict, current)
	default:
		s.revision++
		delete(s.objects[kind], name)
		s.addEvent(kind, current, true)
		answer(w, http.StatusOK, current)
	}
}

// set stores an object. s.mu must be held.
func (s *store) set(kind, name string, spec json.RawMessage) storeObject {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]storeObject)
	}
	if current, ok := s.objects[kind][name]; ok && sameJSON(current.Spec, spec) {
		return current
	}
	s.revision++
	o := storeObject{Meta: storeMeta{Name: name, Revision: s.revision}, Spec: spec}
	s.objects[kind][name] = o
	s.addEvent(kind, o, false)
	return o
}

func sameJSON(a, b json.RawMessage) bool {
	var x, y any
	return json.Unmarshal(a, &x) == nil && json.Unmarshal(b, &y) == nil && reflect.DeepEqual(x, y)
}

// addEvent adds a change to the history. s.mu must be held.
func (s *store) addEvent(kind string, o storeObject, removed bool) {
	s.history = append(s.history, storeEvent{revision: s.revision, kind: kind, Object: o, Removed: removed})
	close(s.changed)
	s.changed = make(chan struct{})
}

// write is a change by the operator or by a member.
func (s *store) write(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(kind, name, text)
}

// Kinds of objects that the operator and the members write, and the kind of the claims.
const (
	kindManifest = "config"
	kindMembers  = "servers"
	kindClaims   = "topazrock-groups"
)

// storeEra is the era of a store that has never come back from a copy.
const storeEra = "1"

// answer writes a response of the store.
func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", storeEra)
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}
