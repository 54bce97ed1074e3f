package config

import (
	"context"
	"sync"
	"time"
)

const (
	// pushQueueSize limits the number of versions that are queued for pushing.
	// When the queue is full, a push is dropped; digest exchanges repair that.
	pushQueueSize = 1024
	// pushWorkers is the number of versions that are pushed concurrently.
	pushWorkers = 4
	// pushTimeout limits one push to one peer.
	pushTimeout = 2 * time.Second
)

// queuePush queues a document for pushing to this instance's children in the
// relay tree.
func (s *Store) queuePush(name string) {
	select {
	case s.pushQueue <- name:
	default:
		s.metrics.pushes.WithLabelValues("dropped").Inc()
	}
}

// pushLoop pushes queued documents until ctx ends.
func (s *Store) pushLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case name := <-s.pushQueue:
			s.pushToChildren(ctx, name)
		}
	}
}

// pushToChildren pushes to all children concurrently, so that an unresponsive
// child does not delay the others.
func (s *Store) pushToChildren(ctx context.Context, name string) {
	var calls sync.WaitGroup
	for _, address := range s.topology.childAddresses(name) {
		calls.Go(func() { s.pushDocuments(ctx, address, []string{name}) })
	}
	calls.Wait()
}

// pushDocuments sends the current versions of some documents to one peer.
func (s *Store) pushDocuments(ctx context.Context, address string, names []string) {
	s.mu.RLock()
	list, _ := s.batchDocuments(names)
	s.mu.RUnlock()
	if len(list) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	err := s.options.Peers.Call(ctx, address, methodPush, pushParams{Documents: list}, &pushReply{})
	if err != nil {
		s.metrics.pushes.WithLabelValues("failed").Inc()
		s.log.Debug("Push failed. A digest exchange will repair it.", "peer", address, "error", err)
		return
	}
	s.metrics.pushes.WithLabelValues("sent").Inc()
}
