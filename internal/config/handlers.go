package config

import (
	"context"
	"encoding/json"

	"github.com/topazrock/topazrock/internal/result"
)

// registerHandlers registers the handlers of calls from peers.
func (s *Store) registerHandlers() {
	r := s.options.Registry
	r.Handle(methodPush, func(_ context.Context, _ string, raw json.RawMessage) (any, error) {
		p, err := decodeParams[pushParams](raw)
		if err != nil {
			return nil, err
		}
		s.adoptDocuments(p.Documents, FromPush)
		return pushReply{}, nil
	})
	r.Handle(methodDigest, func(_ context.Context, _ string, raw json.RawMessage) (any, error) {
		p, err := decodeParams[digestParams](raw)
		if err != nil {
			return nil, err
		}
		return s.handleDigest(p), nil
	})
	r.Handle(methodCompare, func(_ context.Context, _ string, raw json.RawMessage) (any, error) {
		p, err := decodeParams[compareParams](raw)
		if err != nil {
			return nil, err
		}
		return s.handleCompare(p), nil
	})
	r.Handle(methodVersions, func(context.Context, string, json.RawMessage) (any, error) {
		return s.Versions(), nil
	})
}

func decodeParams[T any](raw json.RawMessage) (T, error) {
	var p T
	if err := json.Unmarshal(raw, &p); err != nil {
		return p, result.New(result.BadAdminRequest, "malformed parameters").WithCause(err)
	}
	return p, nil
}

// adoptDocuments adopts documents that a peer sent.
func (s *Store) adoptDocuments(list []wireDocument, from Source) {
	for _, d := range list {
		if d.Envelope.Version > 0 {
			s.adoptVersion(d.Name, d.Envelope, from)
		}
	}
}

func (s *Store) handleDigest(p digestParams) digestReply {
	s.mu.RLock()
	ours := s.table.sums
	s.mu.RUnlock()
	if ours.rootSum() == p.Root {
		// An exchange initiated by a peer that has the same documents counts as
		// a successful call to a peer.
		s.recordCallResult(remotePeer, s.requireDocuments())
		return digestReply{}
	}
	return digestReply{Sums: ours[:]}
}

// handleCompare returns the documents that the caller lacks in the buckets it
// asks for, and the names of those that it has in a higher version.
func (s *Store) handleCompare(p compareParams) compareReply {
	requested := make(map[int]bool, len(p.Buckets))
	for _, b := range p.Buckets {
		requested[b] = true
	}
	var reply compareReply
	var names []string
	s.mu.RLock()
	defer s.mu.RUnlock()
	for name, a := range s.table.documents {
		if requested[bucketOf(name)] && a.Version > p.Versions[name] {
			names = append(names, name)
		}
	}
	reply.Documents, reply.More = s.batchDocuments(names)
	for name, version := range p.Versions {
		if version > s.knownVersion(name) {
			reply.Wanted = append(reply.Wanted, name)
		}
	}
	return reply
}

// batchDocuments returns the named documents, up to the size limit of one
// message. The caller must hold mu.
func (s *Store) batchDocuments(names []string) (list []wireDocument, more bool) {
	size := 0
	for _, name := range names {
		a, ok := s.table.documents[name]
		if !ok {
			continue
		}
		if size += len(a.Text); size > maxBatch && len(list) > 0 {
			return list, true
		}
		list = append(list, wireDocument{Name: name, Envelope: a.Envelope})
	}
	return list, false
}

// knownVersion returns the highest version of a document that this instance has
// received: the current one, or a higher one that was rejected here as invalid.
// Peers do not need to send it again. The caller must hold mu.
func (s *Store) knownVersion(name string) int64 {
	return max(s.table.documents[name].Version, s.rejected[name].Version)
}
