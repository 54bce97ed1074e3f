package member

import (
	"context"
	"encoding/gob"
	"errors"
	"io"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/member"
)

// Parameters of the replication between members.
const (
	heartbeatInterval   = 200 * time.Millisecond
	streamTimeout       = time.Second
	reconnectDelay      = 50 * time.Millisecond
	pendingBatches      = 4096
	replicationGreeting = 'R'
)

var errNotAttached = errors.New("no longer a replica of this term")

// attachRequest is the first message of a replica: its term and the last mark of
// each term in its log.
type attachRequest struct {
	Term logpos.Term
	Ends []logpos.TermPosition
}

// attachResponse is the primary's response. The replica truncates its log at Common,
// where the two logs diverge.
type attachResponse struct {
	Refused   bool
	Common    logpos.Position
	TermStart logpos.Position
}

// batch carries records. An empty batch is a heartbeat.
type batch struct{ Records []record }

// serveReplica serves the replication stream of one replica on the primary.
func (n *Node) serveReplica(proc *process, conn net.Conn) {
	if _, err := conn.Write([]byte{replicationGreeting}); err != nil {
		return
	}
	var request attachRequest
	if err := gob.NewDecoder(conn).Decode(&request); err != nil {
		return
	}
	encoder := gob.NewEncoder(conn)
	response := n.handleAttach(request)
	if err := encoder.Encode(response); err != nil || response.Refused {
		return
	}
	n.streamRecords(proc, encoder, request.Term, response.Common)
}

func (n *Node) handleAttach(r attachRequest) attachResponse {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.role != member.RolePrimary || n.enteredTerm != r.Term {
		return attachResponse{Refused: true}
	}
	return attachResponse{Common: n.log.commonPosition(r.Ends), TermStart: n.termStart}
}

func (n *Node) streamRecords(proc *process, encoder *gob.Encoder, term logpos.Term, sent logpos.Position) {
	for proc.ctx.Err() == nil {
		records, changed, ok := n.recordsAfter(term, sent)
		if !ok {
			return
		}
		if len(records) > 0 {
			sent = records[len(records)-1].Mark.Position
		} else if !waitForChange(proc.ctx, changed, heartbeatInterval) {
			return
		}
		if err := encoder.Encode(batch{Records: records}); err != nil {
			return
		}
	}
}

func (n *Node) recordsAfter(term logpos.Term, p logpos.Position) ([]record, <-chan struct{}, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.role != member.RolePrimary || n.enteredTerm != term {
		return nil, nil, false
	}
	return n.log.recordsAfter(p), n.changed, true
}

// waitForChange returns when changed is closed or after d. It returns false if ctx is
// done first.
func waitForChange(ctx context.Context, changed <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-timer.C:
	}
	return true
}

// startFollowing replicates from the primary, and reconnects, until stopFollowing or
// the end of the process. n.mu must be held.
func (n *Node) startFollowing() {
	ctx, cancel := context.WithCancel(n.process.ctx)
	n.cancelFollowing = cancel
	term, primary := n.enteredTerm, n.primary
	n.wg.Go(func() {
		for ctx.Err() == nil {
			_ = n.receiveLog(ctx, term, primary)
			waitForChange(ctx, nil, reconnectDelay)
		}
	})
}

func (n *Node) stopFollowing() {
	if n.cancelFollowing != nil {
		n.cancelFollowing()
		n.cancelFollowing = nil
	}
}

// receiveLog serves one replication connection on the replica until it fails.
func (n *Node) receiveLog(ctx context.Context, term logpos.Term, primary string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := n.dialPrimary(ctx, primary)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	decoder, err := n.attachToPrimary(conn, term)
	if err != nil {
		return err
	}
	pending := make(chan batch, pendingBatches)
	n.wg.Go(func() { n.applyBatches(ctx, term, pending) })
	for {
		var b batch
		if err := conn.SetReadDeadline(time.Now().Add(streamTimeout)); err != nil {
			return err
		}
		// When the stream breaks, ctx is canceled and pending records are dropped.
		// This simulates the loss of bytes in transit from a dead primary.
		if err := decoder.Decode(&b); err != nil {
			return err
		}
		select {
		case pending <- b:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (n *Node) dialPrimary(ctx context.Context, primary string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, streamTimeout)
	defer cancel()
	return n.opts.Network.Dial(ctx, primary)
}

// attachToPrimary agrees with the primary where the two logs diverge, and truncates
// the replica's log there.
func (n *Node) attachToPrimary(conn net.Conn, term logpos.Term) (*gob.Decoder, error) {
	if err := conn.SetDeadline(time.Now().Add(streamTimeout)); err != nil {
		return nil, err
	}
	startup := &pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"replication": "true"},
	}
	encoded, err := startup.Encode(nil)
	if err != nil {
		return nil, err
	}
	if _, err := conn.Write(encoded); err != nil {
		return nil, err
	}
	if _, err := io.ReadFull(conn, make([]byte, 1)); err != nil {
		return nil, err
	}
	n.mu.Lock()
	request := attachRequest{Term: term, Ends: n.log.lastMarks()}
	n.mu.Unlock()
	if err := gob.NewEncoder(conn).Encode(request); err != nil {
		return nil, err
	}
	var response attachResponse
	decoder := gob.NewDecoder(conn)
	if err := decoder.Decode(&response); err != nil {
		return nil, err
	}
	n.callHook("replica.attach.before")
	return decoder, n.finishAttach(term, response)
}

func (n *Node) finishAttach(term logpos.Term, a attachResponse) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if a.Refused || n.enteredTerm != term || n.role != member.RoleReplica {
		return errNotAttached
	}
	if a.Common < n.log.lastMark().Position {
		n.log.truncate(a.Common)
		n.rebuildRows()
	}
	n.attachedTerm, n.termStart = term, a.TermStart
	n.notifyChanged()
	return nil
}

// applyBatches applies pending records as they become due.
func (n *Node) applyBatches(ctx context.Context, term logpos.Term, pending <-chan batch) {
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-pending:
			for _, r := range b.Records {
				if !n.waitUntilDue(ctx, r) || !n.applyRecord(ctx, term, r) {
					return
				}
			}
		}
	}
}

// waitUntilDue waits until the record's age reaches the replication lag.
func (n *Node) waitUntilDue(ctx context.Context, r record) bool {
	for {
		n.mu.Lock()
		changed := n.changed
		n.mu.Unlock()
		remaining := time.Until(r.At.Add(time.Duration(n.lag.Load())))
		if remaining <= 0 {
			return ctx.Err() == nil
		}
		if !waitForChange(ctx, changed, remaining) {
			return false
		}
	}
}

func (n *Node) applyRecord(ctx context.Context, term logpos.Term, r record) bool {
	n.callHook("replica.take.before")
	n.mu.Lock()
	defer n.mu.Unlock()
	// A fenced replica applies no more records of the old term: the position it
	// reported when it was fenced must remain its last.
	if ctx.Err() != nil || n.enteredTerm != term || n.attachedTerm != term {
		return false
	}
	if r.Mark.Position > n.log.lastMark().Position {
		n.appendRecord(r)
	}
	return true
}
