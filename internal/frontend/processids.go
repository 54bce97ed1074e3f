package frontend

import "sync"

// processIDs finds sessions by the process ID that was sent to their callers, for
// cancel requests.
type processIDs struct {
	// prefix is the upper part of every process ID that this instance assigns, so
	// that a cancel request can be forwarded to the instance of its session.
	prefix uint32

	mu       sync.Mutex
	next     uint32
	sessions map[uint32]*session
}

func newProcessIDs(prefix uint32) *processIDs {
	return &processIDs{prefix: prefix, sessions: make(map[uint32]*session)}
}

// add assigns a session a process ID that no other session has.
func (p *processIDs) add(s *session) {
	const mask = 1<<processIDBits - 1
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		p.next = (p.next + 1) & mask
		id := p.prefix<<processIDBits | p.next
		if _, taken := p.sessions[id]; taken {
			continue
		}
		s.processID = id
		p.sessions[id] = s
		return
	}
}

func (p *processIDs) remove(s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.sessions, s.processID)
}

func (p *processIDs) find(processID uint32) *session {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sessions[processID]
}
