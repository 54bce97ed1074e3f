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

// Times of the replication between members.
const (
	heartbeat       = 200 * time.Millisecond
	streamTimeout   = time.Second
	reconnectDelay  = 50 * time.Millisecond
	pendingBatches  = 4096
	replicationMark = 'R'
)

var errNotAttached = errors.New("not a replica of this term any more")

// attachRequest is a replica's first message.
type attachRequest struct {
	Term logpos.Term
	Ends []logpos.Mark
}

// attachAnswer tells a replica where to truncate its log.
type attachAnswer struct {
	Refused   bool
	Common    logpos.Position
	TermStart logpos.Position
}

// batch carries records; an empty one is a heartbeat.
type batch struct{ Records []record }

// sendLog serves one replica's stream on the primary.
func (n *Node) sendLog(l *life, conn net.Conn) {
	if _, err := conn.Write([]byte{replicationMark}); err != nil {
		return
	}
	var request attachRequest
	if err := gob.NewDecoder(conn).Decode(&request); err != nil {
		return
	}
	encoder := gob.NewEncoder(conn)
	answer := n.answerAttach(request)
	if err := encoder.Encode(answer); err != nil || answer.Refused {
		return
	}
	n.stream(l, encoder, request.Term, answer.Common)
}

func (n *Node) answerAttach(r attachRequest) attachAnswer {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.role != member.RolePrimary || n.entered != r.Term {
		return attachAnswer{Refused: true}
	}
	return attachAnswer{Common: n.log.common(r.Ends), TermStart: n.termStart}
}

func (n *Node) stream(l *life, encoder *gob.Encoder, term logpos.Term, sent logpos.Position) {
	for l.ctx.Err() == nil {
		records, changed, ok := n.recordsAfter(term, sent)
		if !ok {
			return
		}
		if len(records) > 0 {
			sent = records[len(records)-1].Mark.Position
		} else if !wait(l.ctx, changed, heartbeat) {
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
	if n.role != member.RolePrimary || n.entered != term {
		return nil, nil, false
	}
	return n.log.after(p), n.changed, true
}

// wait returns on a change or after d; false when ctx has ended.
func wait(ctx context.Context, changed <-chan struct{}, d time.Duration) bool {
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

// startFollowing streams from the primary until the term changes. Caller holds
// the mutex.
func (n *Node) startFollowing() {
	ctx, stop := context.WithCancel(n.life.ctx)
	n.stopFollow = stop
	term, primary := n.entered, n.primary
	n.wg.Go(func() {
		for ctx.Err() == nil {
			_ = n.receiveLog(ctx, term, primary)
			wait(ctx, nil, reconnectDelay)
		}
	})
}

func (n *Node) stopFollowing() {
	if n.stopFollow != nil {
		n.stopFollow()
		n.stopFollow = nil
	}
}

// receiveLog runs one replication connection on the replica.
func (n *Node) receiveLog(ctx context.Context, term logpos.Term, primary string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := n.dialPrimary(ctx, primary)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	decoder, err := n.attach(conn, term)
	if err != nil {
		return err
	}
	pending := make(chan batch, pendingBatches)
	n.wg.Go(func() { n.takeAll(ctx, term, pending) })
	for {
		var b batch
		if err := conn.SetReadDeadline(time.Now().Add(streamTimeout)); err != nil {
			return err
		}
		// What is pending when the stream breaks is dropped with ctx, as bytes
		// on their way from a dead primary are lost.
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

// attach finds with the primary where the logs part and drops the tail.
func (n *Node) attach(conn net.Conn, term logpos.Term) (*gob.Decoder, error) {
	if err := conn.SetDeadline(time.Now().Add(streamTimeout)); err != nil {
		return nil, err
	}
	startup := &pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"replication": "true"},
	}
	hello, err := startup.Encode(nil)
	if err != nil {
		return nil, err
	}
	if _, err := conn.Write(hello); err != nil {
		return nil, err
	}
	if _, err := io.ReadFull(conn, make([]byte, 1)); err != nil {
		return nil, err
	}
	n.mu.Lock()
	request := attachRequest{Term: term, Ends: n.log.ends()}
	n.mu.Unlock()
	if err := gob.NewEncoder(conn).Encode(request); err != nil {
		return nil, err
	}
	var answer attachAnswer
	decoder := gob.NewDecoder(conn)
	if err := decoder.Decode(&answer); err != nil {
		return nil, err
	}
	n.at("replica.attach.before")
	return decoder, n.finishAttach(term, answer)
}

func (n *Node) finishAttach(term logpos.Term, a attachAnswer) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if a.Refused || n.entered != term || n.role != member.RoleReplica {
		return errNotAttached
	}
	if a.Common < n.log.last().Position {
		n.log.truncate(a.Common)
		n.rebuild()
	}
	n.attached, n.termStart = term, a.TermStart
	n.notify()
	return nil
}

// takeAll takes records as they become due.
func (n *Node) takeAll(ctx context.Context, term logpos.Term, pending <-chan batch) {
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-pending:
			for _, r := range b.Records {
				if !n.waitDue(ctx, r) || !n.take(ctx, term, r) {
					return
				}
			}
		}
	}
}

// waitDue waits until the record is as old as the replication lag.
func (n *Node) waitDue(ctx context.Context, r record) bool {
	for {
		n.mu.Lock()
		changed := n.changed
		n.mu.Unlock()
		left := time.Until(r.At.Add(time.Duration(n.lag.Load())))
		if left <= 0 {
			return ctx.Err() == nil
		}
		if !wait(ctx, changed, left) {
			return false
		}
	}
}

func (n *Node) take(ctx context.Context, term logpos.Term, r record) bool {
	n.at("replica.take.before")
	n.mu.Lock()
	defer n.mu.Unlock()
	// A fenced replica takes no more records of the old term: the position it
	// reported when it was fenced must stay true.
	if ctx.Err() != nil || n.entered != term || n.attached != term {
		return false
	}
	if r.Mark.Position > n.log.last().Position {
		n.add(r)
	}
	return true
}
