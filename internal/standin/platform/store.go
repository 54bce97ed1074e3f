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

	"github.com/topazrock/topazrock/internal/clock"
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

// Store is the platform's store in memory. As a platform.API it acts as a client that always knows
// the store's present era; a View learns it from responses.
//
// Its objects hold revisions without the era. Responses name the era in which they were made.
type Store struct {
	client
	// eras holds the present era.
	eras *platform.EraTracker

	hook atomic.Pointer[func(point string)]

	mu sync.Mutex
	// revision is the number of the last change of any object. undo reverts the latest changes.
	revision  int64
	undo      []pastChange
	kinds     map[platform.Kind]*collection
	raw       map[rawName]bool
	inventory []datedInventory
	faults    Faults
	calls     map[Call]int
	// changed is closed and replaced when an object or the injected faults change.
	changed chan struct{}
}

var _ platform.API = (*Store)(nil)

// NewStore returns an empty store.
func NewStore() *Store {
	s := &Store{
		eras:    platform.NewEraTracker(clock.System{}),
		kinds:   map[platform.Kind]*collection{},
		raw:     map[rawName]bool{},
		calls:   map[Call]int{},
		changed: make(chan struct{}),
	}
	s.eras.Observe(firstEra)
	s.client = newClient(s, s.eras)
	return s
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

// get serves a read of one object. Like all calls it also returns the era of the response, zero
// if there is none.
func (s *Store) get(ctx context.Context, kind platform.Kind, name string) (platform.Object, int64, error) {
	if err := s.beginCall(ctx, CallGet); err != nil {
		return platform.Object{}, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.collectionFor(kind).objects[name]
	if !ok || o.Removed {
		return platform.Object{}, s.Era(), platform.ErrNotFound
	}
	return s.inEra(o), s.Era(), nil
}

// list serves a list.
func (s *Store) list(ctx context.Context, kind platform.Kind) ([]platform.Object, platform.Revision, error) {
	if err := s.beginCall(ctx, CallList); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	objects := slices.DeleteFunc(s.changedSince(kind, 0), func(o platform.Object) bool { return o.Removed })
	return objects, s.currentRevision(), nil
}

// put serves a change that is conditional on the number of a revision, in whatever era the store
// is when it arrives.
func (s *Store) put(ctx context.Context, kind platform.Kind, name string, value []byte, ifNumber int64) (platform.Object, int64, error) {
	if err := s.beginCall(ctx, CallPut); err != nil {
		return platform.Object{}, 0, err
	}
	s.callHook(string(kind) + ".put.before")
	if s.deferPut(kind, name, value, ifNumber) {
		return platform.Object{}, 0, platform.ErrOutcomeUnknown
	}
	o, responseLost, err := s.applyPut(kind, name, value, ifNumber)
	if err != nil {
		return platform.Object{}, s.Era(), err
	}
	s.callHook(string(kind) + ".put.after_before_answer")
	if responseLost || ctx.Err() != nil {
		return platform.Object{}, 0, platform.ErrOutcomeUnknown
	}
	return o, o.Revision.Era(), nil
}

// deferPut returns false if DelayedPuts is zero. Otherwise it decrements DelayedPuts,
// schedules the change to be applied after PutDelay, and returns true.
func (s *Store) deferPut(kind platform.Kind, name string, value []byte, ifNumber int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.DelayedPuts == 0 {
		return false
	}
	s.faults.DelayedPuts--
	time.AfterFunc(s.faults.PutDelay, func() { _, _, _ = s.applyPut(kind, name, value, ifNumber) })
	return true
}

func (s *Store) applyPut(kind platform.Kind, name string, value []byte, ifNumber int64) (o platform.Object, responseLost bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.collectionFor(kind)
	o = c.objects[name]
	if o.Removed {
		o.Version = 0
	}
	if o.Version.Number() != ifNumber || len(value) > platform.MaxValueSize {
		return s.inEra(o), false, platform.ErrConflict
	}
	s.recordPastChange(kind, name)
	s.revision++
	o = platform.Object{Kind: kind, Name: name, Version: platform.Revision(s.revision), Revision: platform.Revision(s.revision), Value: bytes.Clone(value)}
	c.objects[name] = o
	responseLost = s.faults.LoseResponses > 0
	if responseLost {
		s.faults.LoseResponses--
	}
	s.notifyWatchers()
	return s.inEra(o), responseLost, nil
}

// remove serves a removal that is conditional on the number of a revision.
func (s *Store) remove(ctx context.Context, kind platform.Kind, name string, ifNumber int64) (int64, error) {
	if err := s.beginCall(ctx, CallDelete); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.collectionFor(kind)
	o, ok := c.objects[name]
	switch {
	case !ok || o.Removed:
		return s.Era(), platform.ErrNotFound
	case o.Version.Number() != ifNumber:
		return s.Era(), platform.ErrConflict
	}
	s.recordPastChange(kind, name)
	s.revision++
	c.objects[name] = platform.Object{Kind: kind, Name: name, Version: platform.Revision(s.revision), Revision: platform.Revision(s.revision), Removed: true}
	s.notifyWatchers()
	return s.Era(), nil
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

// currentRevision returns the revision of the last change. The caller holds s.mu.
func (s *Store) currentRevision() platform.Revision {
	return platform.NewRevision(s.Era(), s.revision)
}

// inEra returns an object with its revisions in the present era. The caller holds s.mu.
func (s *Store) inEra(o platform.Object) platform.Object {
	o.Version = platform.NewRevision(s.Era(), o.Version.Number())
	o.Revision = platform.NewRevision(s.Era(), o.Revision.Number())
	return o
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
