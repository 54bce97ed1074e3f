// Package member simulates one member of a database group. It serves the
// PostgreSQL wire protocol and the line protocol over any netio.Network, stores
// small key-value tables in a replicated log, and can be fenced, promoted or made a
// replica.
//
// Node.mu guards the log, the rows, the row locks and the term. Hooks run without
// holding it, so that a test can stop the node at a named point.
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

// persistentState is the state that survives a restart.
type persistentState struct {
	role        member.Role
	enteredTerm logpos.Term
	termStart   logpos.Position
	primary     string
	log         recordLog
}

// process is one run of the simulated server process, from Start to Kill.
type process struct {
	ctx      context.Context
	cancel   context.CancelFunc
	listener net.Listener
}

// Node is one simulated member.
type Node struct {
	opts  Options
	lag   atomic.Int64
	hook  atomic.Pointer[func(point string)]
	slots chan struct{}
	wg    sync.WaitGroup

	mu sync.Mutex
	persistentState
	attachedTerm logpos.Term
	rows         map[row]string
	locks        map[row]*transaction
	lockHolders  map[*transaction]struct{}
	// changed is closed and replaced whenever the log, the term or the lag changes.
	changed          chan struct{}
	process          *process
	cancelFollowing  context.CancelFunc
	openConns        map[net.Conn]struct{}
	sessions         map[uint32]*session
	nextPID          uint32
	connectionCounts Connections
	readCounts       Reads
	// The fields below are used only by the line protocol.
	runs              []ExecutedStatement
	controlStatements int
	dropResponses     int
	lineConnCount     int
	beforePause       *stateBeforePause
}

// New returns a node that has not been started.
func New(o Options) *Node {
	n := &Node{opts: o, changed: make(chan struct{})}
	n.lag.Store(int64(o.ReplicationLag))
	if o.MaxConcurrentStatements > 0 {
		n.slots = make(chan struct{}, o.MaxConcurrentStatements)
	}
	n.role = member.RoleFenced
	if o.Primary != "" {
		n.enteredTerm, n.role, n.primary = 1, member.RoleReplica, o.Primary
	}
	if o.Primary == o.Address {
		n.role, n.attachedTerm = member.RolePrimary, 1
		n.log.records = append(n.log.records, n.log.newRecord(1, nil))
	}
	return n
}

// Start starts listening and serving, with the state persisted by an earlier run.
func (n *Node) Start() error {
	l, err := n.opts.Network.Listen(n.opts.Address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.mu.Lock()
	defer n.mu.Unlock()
	n.process = &process{ctx: ctx, cancel: cancel, listener: l}
	n.locks = map[row]*transaction{}
	n.lockHolders = map[*transaction]struct{}{}
	n.openConns = map[net.Conn]struct{}{}
	n.sessions = map[uint32]*session{}
	n.attachedTerm = 0
	// A pause does not survive a restart.
	n.restoreBeforePause()
	n.rebuildRows()
	if n.role == member.RolePrimary {
		n.attachedTerm = n.enteredTerm
	}
	if n.role == member.RoleReplica {
		n.startFollowing()
	}
	n.wg.Go(func() { n.acceptConns(n.process) })
	return nil
}

// Kill ends the process immediately at any point of its work, as SIGKILL does. It
// can be called from a hook.
func (n *Node) Kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return
	}
	n.process.cancel()
	_ = n.process.listener.Close()
	for c := range n.openConns {
		_ = c.Close()
	}
	n.process = nil
}

// Running reports whether the process is running.
func (n *Node) Running() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process != nil
}

// Stop kills the node and waits until all its goroutines have ended.
func (n *Node) Stop() {
	n.Kill()
	n.wg.Wait()
}

// Restart stops the node and starts it again with its persisted state.
func (n *Node) Restart() error {
	n.Stop()
	return n.Start()
}

// SetNetwork replaces the network of a stopped node.
func (n *Node) SetNetwork(network netio.Network) { n.opts.Network = network }

// SetHook makes the node call f at named points of its work. A nil f removes the
// hook.
func (n *Node) SetHook(f func(point string)) { n.hook.Store(&f) }

// SetReplicationLag sets how long after its commit this node applies a record.
func (n *Node) SetReplicationLag(d time.Duration) {
	n.lag.Store(int64(d))
	n.mu.Lock()
	defer n.mu.Unlock()
	n.notifyChanged()
}

// Status returns the node's current status.
func (n *Node) Status() member.Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.currentStatus()
}

func (n *Node) currentStatus() member.Status {
	s := member.Status{Role: n.role, EnteredTerm: n.enteredTerm, LastRecord: n.log.lastMark(), AttachedTerm: n.attachedTerm}
	if n.attachedTerm != 0 {
		s.TermStart = n.termStart
	}
	return s
}

// Rows returns a copy of the rows of a table that are committed on this node, by key.
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

func (n *Node) callHook(point string) {
	if f := n.hook.Load(); f != nil && *f != nil {
		(*f)(point)
	}
}

// notifyChanged wakes all goroutines that wait for a change. n.mu must be held.
func (n *Node) notifyChanged() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// rebuildRows recomputes the rows from the log. n.mu must be held.
func (n *Node) rebuildRows() {
	n.rows = map[row]string{}
	for _, r := range n.log.records {
		n.applyWrites(r.Writes)
	}
}

// appendRecord appends a record to the log and applies it. n.mu must be held.
func (n *Node) appendRecord(r record) {
	n.log.records = append(n.log.records, r)
	n.applyWrites(r.Writes)
	n.notifyChanged()
}

func (n *Node) applyWrites(writes []write) {
	for _, w := range writes {
		if w.Deleted {
			delete(n.rows, w.Row)
		} else {
			n.rows[w.Row] = w.Value
		}
	}
}

func (n *Node) acceptConns(proc *process) {
	for {
		conn, err := proc.listener.Accept()
		if err != nil {
			return
		}
		if !n.trackConn(proc, conn) {
			_ = conn.Close()
			return
		}
		n.wg.Go(func() {
			defer n.untrackConn(conn)
			n.serveConn(proc, conn)
		})
	}
}

func (n *Node) trackConn(proc *process, conn net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if proc.ctx.Err() == nil {
		n.openConns[conn] = struct{}{}
	}
	return proc.ctx.Err() == nil
}

func (n *Node) untrackConn(conn net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.openConns, conn)
	_ = conn.Close()
}
