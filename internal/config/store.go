package config

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/hashicorp/go-hclog"

	"github.com/topazrock/topazrock/internal/document"
)

// Store holds the current version of each document. It is safe for concurrent
// use.
type Store struct {
	options   Options
	log       hclog.Logger
	metrics   *Metrics
	topology  peerTopology
	pushQueue chan string

	// adoptMu serializes adoptions and the calls of subscribers, so that
	// subscribers see them in the same order.
	adoptMu     sync.Mutex
	subscribers []func(Applied)

	// mu guards the fields below.
	mu    sync.RWMutex
	table documentTable
	// rejected holds the highest version of each document that failed
	// validation, so that it is neither validated nor requested again.
	rejected        map[string]Change
	startup         startupProgress
	pending         []*pendingChange
	settledOutcomes map[string]Outcome

	// randMu guards options.Rand, which is not safe for concurrent use.
	randMu sync.Mutex
}

// New returns a store without documents and registers its handlers.
func New(o Options) *Store {
	if o.Log == nil {
		o.Log = hclog.NewNullLogger()
	}
	if o.Metrics == nil {
		o.Metrics = NewMetrics(nil)
	}
	if o.Relays == 0 {
		o.Relays = DefaultRelaysPerDomain
	}
	s := &Store{
		options:         o,
		log:             o.Log.Named("config"),
		metrics:         o.Metrics,
		pushQueue:       make(chan string, pushQueueSize),
		table:           newTable(),
		rejected:        make(map[string]Change),
		settledOutcomes: make(map[string]Outcome),
	}
	s.topology.fleet, s.topology.relaysPerDomain = o.Fleet, o.Relays
	s.topology.peersKnown = make(chan struct{})
	s.topology.markPeersKnown = sync.OnceFunc(func() { close(s.topology.peersKnown) })
	s.topology.refresh()
	o.Fleet.Subscribe(s.topology.refresh)
	s.registerHandlers()
	return s
}

// Current returns the current version of the named document.
func (s *Store) Current(name string) (Applied, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	a, ok := s.table.documents[name]
	return a, ok
}

// All returns the current documents, sorted by name.
func (s *Store) All() []Applied {
	s.mu.RLock()
	list := slices.Collect(maps.Values(s.table.documents))
	s.mu.RUnlock()
	slices.SortFunc(list, func(a, b Applied) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// FindGroup returns a group and the document that declares it.
func (s *Store) FindGroup(group string) (Applied, document.Group, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	owners := s.table.owners[group]
	if len(owners) == 0 {
		return Applied{}, document.Group{}, false
	}
	a := s.table.documents[owners[0]]
	g, ok := a.Service.FindGroup(group)
	return a, g, ok
}

// Versions returns the current version number of each document.
func (s *Store) Versions() map[string]int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	versions := make(map[string]int64, len(s.table.documents))
	for name, a := range s.table.documents {
		versions[name] = a.Version
	}
	return versions
}

// Subscribe calls f for each current document, and then for each version that
// becomes current, in the order of the versions. f must not block.
func (s *Store) Subscribe(f func(Applied)) {
	s.adoptMu.Lock()
	defer s.adoptMu.Unlock()
	s.subscribers = append(s.subscribers, f)
	for _, a := range s.All() {
		f(a)
	}
}
