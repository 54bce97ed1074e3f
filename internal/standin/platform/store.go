// Package platform is a fake of the platform: an object API with versions, conditional
// updates and watches, plus the inventory of machines. Tests use it in memory, processes
// over HTTP. It can inject the platform's faults.
package platform

import (
	"bytes"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/topazrock/topazrock/internal/platform"
)

// datedInventory is an inventory and the time it was set.
type datedInventory struct {
	setAt     time.Time
	inventory platform.Inventory
}

// collection holds the objects of one kind.
type collection struct {
	objects map[string]platform.Object
	// compactedRevision is the oldest revision that a watch can start from.
	compactedRevision int64
}

// Store implements platform.API in memory.
type Store struct {
	hook atomic.Pointer[func(point string)]

	mu sync.Mutex
	// revision is the revision of the last change of any object, era the number of the copy that
	// the store runs from. undo reverts the latest changes.
	revision  int64
	era       int64
	undo      []pastChange
	kinds     map[platform.Kind]*collection
	inventory []datedInventory
	faults    Faults
	calls     map[Call]int
	// changed is closed and replaced when an object or the injected faults change.
	changed chan struct{}
}

var _ platform.API = (*Store)(nil)

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		era:     firstEra,
		kinds:   map[platform.Kind]*collection{},
		calls:   map[Call]int{},
		changed: make(chan struct{}),
	}
}

// SetHook makes Put call f at the points KIND.put.before (before the value is stored) and
// KIND.put.after_before_answer (after it is stored, before Put returns).
func (s *Store) SetHook(f func(point string)) { s.hook.Store(&f) }

// SetInventory sets the inventory. It becomes visible after Faults.InventoryLag.
func (s *Store) SetInventory(i platform.Inventory) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inventory = append(s.inventory, datedInventory{time.Now(), i})
}

// Get implements platform.API.
func (s *Store) Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error) {
	if err := s.beginCall(ctx, CallGet); err != nil {
		return platform.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.collectionFor(kind).objects[name]
	if !ok || o.Removed {
		return platform.Object{}, platform.ErrNotFound
	}
	return o, nil
}

// List implements platform.API.
func (s *Store) List(ctx context.Context, kind platform.Kind) ([]platform.Object, int64, error) {
	if err := s.beginCall(ctx, CallList); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.collectionFor(kind)
	objects := slices.DeleteFunc(c.objectsAfter(0), func(o platform.Object) bool { return o.Removed })
	return objects, s.revision, nil
}

// ListStale implements platform.API.
func (s *Store) ListStale(ctx context.Context, kind platform.Kind) ([]platform.Object, int64, error) {
	return s.List(ctx, kind)
}

// Put implements platform.API.
func (s *Store) Put(ctx context.Context, kind platform.Kind, name string, value []byte, ifVersion int64) (platform.Object, error) {
	if err := s.beginCall(ctx, CallPut); err != nil {
		return platform.Object{}, err
	}
	s.callHook(string(kind) + ".put.before")
	if s.deferPut(kind, name, value, ifVersion) {
		return platform.Object{}, platform.ErrOutcomeUnknown
	}
	o, responseLost, err := s.applyPut(kind, name, value, ifVersion)
	if err != nil {
		return platform.Object{}, err
	}
	s.callHook(string(kind) + ".put.after_before_answer")
	if responseLost || ctx.Err() != nil {
		return platform.Object{}, platform.ErrOutcomeUnknown
	}
	return o, nil
}

// deferPut returns false if DelayedPuts is zero. Otherwise it decrements DelayedPuts,
// schedules the change to be applied after PutDelay, and returns true.
func (s *Store) deferPut(kind platform.Kind, name string, value []byte, ifVersion int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.DelayedPuts == 0 {
		return false
	}
	s.faults.DelayedPuts--
	time.AfterFunc(s.faults.PutDelay, func() { _, _, _ = s.applyPut(kind, name, value, ifVersion) })
	return true
}

func (s *Store) applyPut(kind platform.Kind, name string, value []byte, ifVersion int64) (o platform.Object, responseLost bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.collectionFor(kind)
	o = c.objects[name]
	if o.Removed {
		o.Version = 0
	}
	if o.Version != ifVersion || len(value) > platform.MaxValueSize {
		return o, false, platform.ErrConflict
	}
	s.recordPastChange(kind, name)
	s.revision++
	o = platform.Object{Kind: kind, Name: name, Version: s.revision, Revision: s.revision, Value: bytes.Clone(value)}
	c.objects[name] = o
	responseLost = s.faults.LoseResponses > 0
	if responseLost {
		s.faults.LoseResponses--
	}
	s.notifyWatchers()
	return o, responseLost, nil
}

// Delete implements platform.API.
func (s *Store) Delete(ctx context.Context, kind platform.Kind, name string, ifVersion int64) error {
	if err := s.beginCall(ctx, CallDelete); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.collectionFor(kind)
	o, ok := c.objects[name]
	switch {
	case !ok || o.Removed:
		return platform.ErrNotFound
	case o.Version != ifVersion:
		return platform.ErrConflict
	}
	s.recordPastChange(kind, name)
	s.revision++
	c.objects[name] = platform.Object{Kind: kind, Name: name, Version: s.revision, Revision: s.revision, Removed: true}
	s.notifyWatchers()
	return nil
}

// Inventory implements platform.API.
func (s *Store) Inventory(ctx context.Context) (platform.Inventory, error) {
	if err := s.beginCall(ctx, CallInventory); err != nil {
		return platform.Inventory{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	setBefore := time.Now().Add(-s.faults.InventoryLag)
	for _, i := range slices.Backward(s.inventory) {
		if !i.setAt.After(setBefore) {
			return i.inventory, nil
		}
	}
	return platform.Inventory{}, nil
}

func (s *Store) callHook(point string) {
	if f := s.hook.Load(); f != nil && *f != nil {
		(*f)(point)
	}
}

func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) collectionFor(kind platform.Kind) *collection {
	c := s.kinds[kind]
	if c == nil {
		c = &collection{objects: map[string]platform.Object{}}
		s.kinds[kind] = c
	}
	return c
}
