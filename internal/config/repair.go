package config

import (
	"context"
	"slices"
	"time"

	"github.com/topazrock/topazrock/internal/clock"
)

const (
	// digestBeat is the time between two digests.
	digestBeat = time.Second
	// digestTimeout bounds the exchange with one peer. It stays under the beat,
	// so that a silent peer costs one beat.
	digestTimeout = 800 * time.Millisecond
	// maxRounds bounds the messages of one exchange; the next beat goes on.
	maxRounds = 16
	// beatJitter spreads beats, as a share of the beat.
	beatJitter = 0.2
)

// digestLoop exchanges digests until ctx ends.
func (s *Store) digestLoop(ctx context.Context) {
	s.awaitPeers(ctx)
	for ctx.Err() == nil {
		s.repairOnce(ctx)
		_ = clock.Sleep(ctx, s.options.Clock, s.jittered(digestBeat))
	}
}

// awaitPeers waits for the fleet's view to name a peer, for one beat at most.
// An instance that came to be ready before it knew its peers could serve an
// old version from a platform that was set back.
func (s *Store) awaitPeers(ctx context.Context) {
	t := s.options.Clock.NewTimer(digestBeat)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-s.contact.viewed:
	}
}

// repairOnce compares this instance's documents with those of one peer, and
// brings both up to the higher versions.
func (s *Store) repairOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, digestTimeout)
	defer cancel()
	address, err := s.pickPeer()
	if err == nil {
		err = s.repairWith(ctx, address)
	}
	s.noteContact(peerContact, err)
	if err != nil {
		s.metrics.digests.WithLabelValues("failed").Inc()
		s.log.Trace("Digest failed.", "peer", address, "error", err)
		return
	}
	s.metrics.digests.WithLabelValues("done").Inc()
}

func (s *Store) pickPeer() (string, error) {
	targets := s.contact.digestTargets()
	if len(targets) == 0 {
		own := s.options.Fleet.Self().PeerAddress
		targets = slices.DeleteFunc(slices.Clone(s.options.Seeds), func(seed string) bool { return seed == own })
	}
	if len(targets) == 0 {
		return "", errNoPeers
	}
	return targets[s.randomN(len(targets))], nil
}

func (s *Store) repairWith(ctx context.Context, address string) error {
	var reply digestReply
	s.mu.RLock()
	params := digestParams{Root: s.table.sums.root()}
	s.mu.RUnlock()
	if err := s.options.Peers.Call(ctx, address, methodDigest, params, &reply); err != nil {
		return err
	}
	for range maxRounds {
		compare := s.compareParams(reply.Sums)
		if len(compare.Buckets) == 0 {
			return s.checkInformed()
		}
		var answer compareReply
		if err := s.options.Peers.Call(ctx, address, methodCompare, compare, &answer); err != nil {
			return err
		}
		s.receive(answer.Documents, FromDigest)
		if len(answer.Wanted) > 0 {
			s.push(ctx, address, answer.Wanted)
		}
		if !answer.More {
			return s.checkInformed()
		}
	}
	return errUnfinished
}

// checkInformed returns an error after an exchange with a peer that had nothing
// either: two starting instances must not take each other for informed.
func (s *Store) checkInformed() error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if len(s.table.documents) == 0 {
		return errNoDocuments
	}
	return nil
}

// compareParams lists this instance's versions in the parts whose sums differ
// from a peer's.
func (s *Store) compareParams(theirs []uint64) compareParams {
	p := compareParams{Versions: make(map[string]int64)}
	s.mu.RLock()
	defer s.mu.RUnlock()
	differs := make(map[int]bool)
	for b := range min(len(theirs), bucketCount) {
		if theirs[b] != s.table.sums[b] {
			differs[b] = true
			p.Buckets = append(p.Buckets, b)
		}
	}
	if len(differs) == 0 {
		return p
	}
	for name := range s.table.documents {
		if differs[bucketOf(name)] {
			p.Versions[name] = s.held(name)
		}
	}
	for name := range s.refused {
		if differs[bucketOf(name)] {
			p.Versions[name] = s.held(name)
		}
	}
	return p
}

func (s *Store) randomN(n int) int {
	s.randMu.Lock()
	defer s.randMu.Unlock()
	return s.options.Rand.IntN(n)
}

func (s *Store) jittered(d time.Duration) time.Duration {
	s.randMu.Lock()
	defer s.randMu.Unlock()
	return time.Duration(float64(d) * (1 - beatJitter + 2*beatJitter*s.options.Rand.Float64()))
}
