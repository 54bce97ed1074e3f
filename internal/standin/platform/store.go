// Package platform is a stand-in for the platform: an object API with versions,
// conditional updates and watches, and the list of machines. It serves tests in
// memory and processes over HTTP, and has switches for the platform's faults.
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

// shown is a list of machines and when it was set.
type shown struct {
	at        time.Time
	inventory platform.Inventory
}

// collection holds the objects of one kind.
type collection struct {
	objects  map[string]platform.Object
	revision int64
	// floor is the revision that a watch must not lie before.
	floor int64
}

// Store implements platform.API in memory.
type Store struct {
	hook atomic.Pointer[func(point string)]

	mu        sync.Mutex
	kinds     map[platform.Kind]*collection
	inventory []shown
	faults    Faults
	calls     map[Call]int
	// changed is closed and replaced when an object or a switch changes.
	changed chan struct{}
}

var _ platform.API = (*Store)(nil)

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		kinds:   map[platform.Kind]*collection{},
		calls:   map[Call]int{},
		changed: make(chan struct{}),
	}
}

// SetHook calls f at KIND.put.before and KIND.put.after_before_answer.
func (s *Store) SetHook(f func(point string)) { s.hook.Store(&f) }

// SetInventory sets the list of machines. Callers see it after InventoryLag.
func (s *Store) SetInventory(i platform.Inventory) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inventory = append(s.inventory, shown{time.Now(), i})
}

// Get implements platform.API.
func (s *Store) Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error) {
	if err := s.begin(ctx, CallGet); err != nil {
		return platform.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.collection(kind).objects[name]
	if !ok || o.Removed {
		return platform.Object{}, platform.ErrNotFound
	}
	return o, nil
}

// List implements platform.API.
func (s *Store) List(ctx context.Context, kind platform.Kind) ([]platform.Object, int64, error) {
	if err := s.begin(ctx, CallList); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.collection(kind)
	objects := slices.DeleteFunc(c.after(0), func(o platform.Object) bool { return o.Removed })
	return objects, c.revision, nil
}

// ListStale implements platform.API.
func (s *Store) ListStale(ctx context.Context, kind platform.Kind) ([]platform.Object, int64, error) {
	return s.List(ctx, kind)
}

// Put implements platform.API.
func (s *Store) Put(ctx context.Context, kind platform.Kind, name string, value []byte, ifVersion int64) (platform.Object, error) {
	if err := s.begin(ctx, CallPut); err != nil {
		return platform.Object{}, err
	}
	s.at(string(kind) + ".put.before")
	if s.takeLate(kind, name, value, ifVersion) {
		return platform.Object{}, platform.ErrOutcomeUnknown
	}
	o, lost, err := s.store(kind, name, value, ifVersion)
	if err != nil {
		return platform.Object{}, err
	}
	s.at(string(kind) + ".put.after_before_answer")
	if lost || ctx.Err() != nil {
		return platform.Object{}, platform.ErrOutcomeUnknown
	}
	return o, nil
}

// takeLate puts a change off, if the next one is to be late.
func (s *Store) takeLate(kind platform.Kind, name string, value []byte, ifVersion int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LateChanges == 0 {
		return false
	}
	s.faults.LateChanges--
	time.AfterFunc(s.faults.LateBy, func() { _, _, _ = s.store(kind, name, value, ifVersion) })
	return true
}

func (s *Store) store(kind platform.Kind, name string, value []byte, ifVersion int64) (o platform.Object, lost bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.collection(kind)
	o = c.objects[name]
	if o.Removed {
		o.Version = 0
	}
	if o.Version != ifVersion || len(value) > platform.MaxValueSize {
		return o, false, platform.ErrConflict
	}
	c.revision++
	o = platform.Object{Kind: kind, Name: name, Version: ifVersion + 1, Revision: c.revision, Value: bytes.Clone(value)}
	c.objects[name] = o
	lost = s.faults.LoseAnswers > 0
	if lost {
		s.faults.LoseAnswers--
	}
	s.notify()
	return o, lost, nil
}

// Delete implements platform.API.
func (s *Store) Delete(ctx context.Context, kind platform.Kind, name string, ifVersion int64) error {
	if err := s.begin(ctx, CallDelete); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.collection(kind)
	o, ok := c.objects[name]
	switch {
	case !ok || o.Removed:
		return platform.ErrNotFound
	case o.Version != ifVersion:
		return platform.ErrConflict
	}
	c.revision++
	c.objects[name] = platform.Object{Kind: kind, Name: name, Version: o.Version + 1, Revision: c.revision, Removed: true}
	s.notify()
	return nil
}

// Inventory implements platform.API.
func (s *Store) Inventory(ctx context.Context) (platform.Inventory, error) {
	if err := s.begin(ctx, CallInventory); err != nil {
		return platform.Inventory{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	due := time.Now().Add(-s.faults.InventoryLag)
	for _, i := range slices.Backward(s.inventory) {
		if !i.at.After(due) {
			return i.inventory, nil
		}
	}
	return platform.Inventory{}, nil
}

func (s *Store) at(point string) {
	if f := s.hook.Load(); f != nil && *f != nil {
		(*f)(point)
	}
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) collection(kind platform.Kind) *collection {
	c := s.kinds[kind]
	if c == nil {
		c = &collection{objects: map[string]platform.Object{}}
		s.kinds[kind] = c
	}
	return c
}
