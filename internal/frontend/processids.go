package frontend

import "sync"

// processIDs finds sessions by the process ID that their callers were given, for
// cancel requests.
type processIDs struct {
	// prefix is the upper part of every process ID that this instance gives out,
	// so that a cancel request finds the instance it is meant for.
	prefix uint32

	mu       sync.Mutex
	next     uint32
	sessions map[uint32]*session
}

func newProcessIDs(prefix uint32) *processIDs {
	return &processIDs{prefix: prefix, sessions: make(map[uint32]*session)}
}

// add gives a session a process ID that no other session has.
func (p *processIDs) add(n *session) {
	const mask = 1<<processIDBits - 1
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		p.next = (p.next + 1) & mask
		id := p.prefix<<processIDBits | p.next
		if _, taken := p.sessions[id]; taken {
			continue
		}
		n.processID = id
		p.sessions[id] = n
		return
	}
}

func (p *processIDs) remove(n *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.sessions, n.processID)
}

func (p *processIDs) find(processID uint32) *session {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sessions[processID]
}
