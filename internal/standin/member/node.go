// Package member is a stand-in for one member of a database group. It speaks
// the PostgreSQL wire protocol or the line protocol over any netio.Network, keeps
// small keyed tables in a replicated log, and can be fenced, promoted and told to
// follow.
//
// Its mutex guards the log, the rows, the row locks and the term. Hooks run
// without it, so that a test may stop the node at a named point.
package member

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/member"
	"github.com/topazrock/topazrock/internal/netio"
)

// durable is what survives a restart.
type durable struct {
	role      member.Role
	entered   logpos.Term
	termStart logpos.Position
	primary   string
	log       recordLog
}

// life is one run of the node's process, from Start to Kill.
type life struct {
	ctx      context.Context
	end      context.CancelFunc
	listener net.Listener
}

// Node is one stand-in member.
type Node struct {
	opts  Options
	lag   atomic.Int64
	hook  atomic.Pointer[func(point string)]
	slots chan struct{}
	wg    sync.WaitGroup

	mu sync.Mutex
	durable
	attached logpos.Term
	rows     map[row]string
	locks    map[row]*transaction
	writers  map[*transaction]struct{}
	// changed is closed and replaced when the log, the term or the lag changes.
	changed    chan struct{}
	life       *life
	stopFollow context.CancelFunc
	conns      map[net.Conn]struct{}
	sessions   map[uint32]*session
	nextPID    uint32
	counts     Connections
	reads      Reads
	// What follows is of the line protocol alone.
	runs        []Run
	questions   int
	loseAnswers int
	lineConns   int
	heldBefore  *heldBefore
}

// New returns a node that is not started.
func New(o Options) *Node {
	n := &Node{opts: o, changed: make(chan struct{})}
	n.lag.Store(int64(o.ReplicationLag))
	if o.Slots > 0 {
		n.slots = make(chan struct{}, o.Slots)
	}
	n.role = member.RoleFenced
	if o.Primary != "" {
		n.entered, n.role, n.primary = 1, member.RoleReplica, o.Primary
	}
	if o.Primary == o.Address {
		n.role, n.attached = member.RolePrimary, 1
		n.log.records = append(n.log.records, n.log.next(1, nil))
	}
	return n
}

// Start listens and serves. What was persisted before is kept.
func (n *Node) Start() error {
	l, err := n.opts.Network.Listen(n.opts.Address)
	if err != nil {
		return err
	}
	ctx, end := context.WithCancel(context.Background())
	n.mu.Lock()
	defer n.mu.Unlock()
	n.life = &life{ctx: ctx, end: end, listener: l}
	n.locks = map[row]*transaction{}
	n.writers = map[*transaction]struct{}{}
	n.conns = map[net.Conn]struct{}{}
	n.sessions = map[uint32]*session{}
	n.attached = 0
	// A hold is forgotten with the process.
	n.revertHold()
	n.rebuild()
	if n.role == member.RolePrimary {
		n.attached = n.entered
	}
	if n.role == member.RoleReplica {
		n.startFollowing()
	}
	n.wg.Go(func() { n.accept(n.life) })
	return nil
}

// Kill ends the process as SIGKILL does: at once, wherever it is. A hook may
// call it.
func (n *Node) Kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.life == nil {
		return
	}
	n.life.end()
	_ = n.life.listener.Close()
	for c := range n.conns {
		_ = c.Close()
	}
	n.life = nil
}

// Running reports whether the process is alive.
func (n *Node) Running() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.life != nil
}

// Stop kills the node and waits until all its work has ended.
func (n *Node) Stop() {
	n.Kill()
	n.wg.Wait()
}

// Restart stops the node and starts it with what it had persisted.
func (n *Node) Restart() error {
	n.Stop()
	return n.Start()
}

// SetNetwork gives a stopped node another view of the network.
func (n *Node) SetNetwork(network netio.Network) { n.opts.Network = network }

// SetHook calls f at named points of the node's work; nil calls nothing.
func (n *Node) SetHook(f func(point string)) { n.hook.Store(&f) }

// SetReplicationLag sets how long after its commit this node takes a record.
func (n *Node) SetReplicationLag(d time.Duration) {
	n.lag.Store(int64(d))
	n.mu.Lock()
	defer n.mu.Unlock()
	n.notify()
}

// Status returns the node's own report.
func (n *Node) Status() member.Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.status()
}

func (n *Node) status() member.Status {
	s := member.Status{Role: n.role, Entered: n.entered, Last: n.log.last(), Attached: n.attached}
	if n.attached != 0 {
		s.TermStart = n.termStart
	}
	return s
}

// Rows returns a copy of the rows of a table, by key, as committed here.
func (n *Node) Rows(table string) map[string]string {
	n.mu.Lock()
	defer n.mu.Unlock()
	rows := map[string]string{}
	for r, v := range n.rows {
		if r.Table == table {
			rows[r.Key] = v
		}
	}
	return rows
}

func (n *Node) at(point string) {
	if f := n.hook.Load(); f != nil && *f != nil {
		(*f)(point)
	}
}

// notify wakes all that wait for a change. Caller holds the mutex.
func (n *Node) notify() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// rebuild computes the rows from the log. Caller holds the mutex.
func (n *Node) rebuild() {
	n.rows = map[row]string{}
	for _, r := range n.log.records {
		n.apply(r.Writes)
	}
}

// add appends a record and applies it. Caller holds the mutex.
func (n *Node) add(r record) {
	n.log.records = append(n.log.records, r)
	n.apply(r.Writes)
	n.notify()
}

func (n *Node) apply(writes []write) {
	for _, w := range writes {
		if w.Deleted {
			delete(n.rows, w.Row)
		} else {
			n.rows[w.Row] = w.Value
		}
	}
}

func (n *Node) accept(l *life) {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		if !n.track(l, conn) {
			_ = conn.Close()
			return
		}
		n.wg.Go(func() {
			defer n.untrack(conn)
			n.serve(l, conn)
		})
	}
}

func (n *Node) track(l *life, conn net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l.ctx.Err() == nil {
		n.conns[conn] = struct{}{}
	}
	return l.ctx.Err() == nil
}

func (n *Node) untrack(conn net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, conn)
	_ = conn.Close()
}
