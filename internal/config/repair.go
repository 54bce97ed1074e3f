package config

import (
	"context"
	"slices"
	"time"

	"github.com/topazrock/topazrock/internal/clock"
)

const (
	// digestInterval is the time between two digest exchanges.
	digestInterval = time.Second
	// digestTimeout limits the exchange with one peer. It is shorter than the
	// interval, so that an unresponsive peer costs only one interval.
	digestTimeout = 800 * time.Millisecond
	// maxCompareRounds limits the compare calls of one exchange. The exchange of
	// the next interval compares the remaining differences.
	maxCompareRounds = 16
	// intervalJitter is the random variation of intervals, as a fraction of the
	// interval.
	intervalJitter = 0.2
)

// digestLoop exchanges digests until ctx ends.
func (s *Store) digestLoop(ctx context.Context) {
	s.waitForPeers(ctx)
	for ctx.Err() == nil {
		s.repairWithRandomPeer(ctx)
		_ = clock.Sleep(ctx, s.options.Clock, s.jittered(digestInterval))
	}
}

// waitForPeers waits until the membership view contains a peer, for at most one
// digestInterval. An instance that became ready before it knew its peers could
// serve an old version from a platform whose store was reset.
func (s *Store) waitForPeers(ctx context.Context) {
	t := s.options.Clock.NewTimer(digestInterval)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-s.topology.peersKnown:
	}
}

// repairWithRandomPeer compares this instance's documents with those of one
// peer and updates both sides to the higher versions.
func (s *Store) repairWithRandomPeer(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, digestTimeout)
	defer cancel()
	address, err := s.pickPeer()
	if err == nil {
		err = s.repairWithPeer(ctx, address)
	}
	s.recordCallResult(remotePeer, err)
	if err != nil {
		s.metrics.digests.WithLabelValues("failed").Inc()
		s.log.Trace("Digest exchange failed.", "peer", address, "error", err)
		return
	}
	s.metrics.digests.WithLabelValues("done").Inc()
}

func (s *Store) pickPeer() (string, error) {
	targets := s.topology.digestAddresses()
	if len(targets) == 0 {
		own := s.options.Fleet.Self().PeerAddress
		targets = slices.DeleteFunc(slices.Clone(s.options.Seeds), func(seed string) bool { return seed == own })
	}
	if len(targets) == 0 {
		return "", errNoPeers
	}
	return targets[s.randomIndex(len(targets))], nil
}

func (s *Store) repairWithPeer(ctx context.Context, address string) error {
	var reply digestReply
	s.mu.RLock()
	params := digestParams{Root: s.table.sums.rootSum()}
	s.mu.RUnlock()
	if err := s.options.Peers.Call(ctx, address, methodDigest, params, &reply); err != nil {
		return err
	}
	for range maxCompareRounds {
		compare := s.buildCompareParams(reply.Sums)
		if len(compare.Buckets) == 0 {
			return s.requireDocuments()
		}
		var answer compareReply
		if err := s.options.Peers.Call(ctx, address, methodCompare, compare, &answer); err != nil {
			return err
		}
		s.adoptDocuments(answer.Documents, FromDigest)
		if len(answer.Wanted) > 0 {
			s.pushDocuments(ctx, address, answer.Wanted)
		}
		if !answer.More {
			return s.requireDocuments()
		}
	}
	return errExchangeUnfinished
}

// requireDocuments returns an error if this instance still has no documents
// after an exchange, because the peer had none either. Without this error, two
// starting instances would each count the exchange as a successful sync.
func (s *Store) requireDocuments() error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if len(s.table.documents) == 0 {
		return errNoDocuments
	}
	return nil
}

// buildCompareParams lists this instance's versions in the buckets whose
// checksums differ from the peer's.
func (s *Store) buildCompareParams(peerSums []uint64) compareParams {
	p := compareParams{Versions: make(map[string]int64)}
	s.mu.RLock()
	defer s.mu.RUnlock()
	differs := make(map[int]bool)
	for b := range min(len(peerSums), bucketCount) {
		if peerSums[b] != s.table.sums[b] {
			differs[b] = true
			p.Buckets = append(p.Buckets, b)
		}
	}
	if len(differs) == 0 {
		return p
	}
	for name := range s.table.documents {
		if differs[bucketOf(name)] {
			p.Versions[name] = s.knownVersion(name)
		}
	}
	for name := range s.rejected {
		if differs[bucketOf(name)] {
			p.Versions[name] = s.knownVersion(name)
		}
	}
	return p
}

func (s *Store) randomIndex(n int) int {
	s.randMu.Lock()
	defer s.randMu.Unlock()
	return s.options.Rand.IntN(n)
}

func (s *Store) jittered(d time.Duration) time.Duration {
	s.randMu.Lock()
	defer s.randMu.Unlock()
	return time.Duration(float64(d) * (1 - intervalJitter + 2*intervalJitter*s.options.Rand.Float64()))
}
