package memnet

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// pipeCapacity is the number of bytes that a pipe buffers before writes block.
const pipeCapacity = 1 << 20

// chunk is a unit in flight: bytes, or the end of the stream as an error.
type chunk struct {
	data      []byte
	endErr    error
	arrivesAt time.Time
}

// pipe is one direction of a connection.
type pipe struct {
	net  *Network
	link link
	// cond wakes the reader and the writer of this pipe.
	cond          *sync.Cond
	chunks        []chunk
	size          int
	blackholed    bool
	readerClosed  bool
	writerClosed  bool
	readDeadline  time.Time
	writeDeadline time.Time
}

func newPipe(n *Network, l link) *pipe {
	return &pipe{net: n, link: l, cond: sync.NewCond(&n.mu)}
}

// send queues a chunk for delivery. A blackholed pipe drops it. p.net.mu must be
// held.
func (p *pipe) send(c chunk) {
	if p.blackholed {
		return
	}
	c.arrivesAt = time.Now().Add(p.net.latency[p.link])
	if k := len(p.chunks); k > 0 && p.chunks[k-1].arrivesAt.After(c.arrivesAt) {
		c.arrivesAt = p.chunks[k-1].arrivesAt
	}
	p.chunks = append(p.chunks, c)
	p.size += len(c.data)
	p.cond.Broadcast()
}

// dropUndelivered drops the chunks that have not arrived. p.net.mu must be held.
func (p *pipe) dropUndelivered() {
	arrived := p.chunks[:0]
	p.size = 0
	for _, c := range p.chunks {
		if time.Now().Before(c.arrivesAt) || p.net.isBlocked(p.link) {
			break
		}
		arrived = append(arrived, c)
		p.size += len(c.data)
	}
	p.chunks = arrived
}

func (p *pipe) read(b []byte) (int, error) {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	for {
		wake := p.readDeadline
		switch {
		case p.readerClosed:
			return 0, opError("read", net.ErrClosed)
		case expired(p.readDeadline):
			return 0, opError("read", os.ErrDeadlineExceeded)
		case len(p.chunks) > 0 && !p.blackholed && !p.net.isBlocked(p.link):
			arrivesAt := p.chunks[0].arrivesAt
			if !time.Now().Before(arrivesAt) {
				return p.readFirstChunk(b)
			}
			if wake.IsZero() || arrivesAt.Before(wake) {
				wake = arrivesAt
			}
		}
		waitUntil(p.cond, wake)
	}
}

// readFirstChunk copies bytes from the first chunk. The end of the stream stays queued
// for later reads.
func (p *pipe) readFirstChunk(b []byte) (int, error) {
	c := &p.chunks[0]
	if c.endErr == io.EOF {
		return 0, io.EOF
	}
	if c.endErr != nil {
		return 0, opError("read", c.endErr)
	}
	k := copy(b, c.data)
	c.data = c.data[k:]
	p.size -= k
	if len(c.data) == 0 {
		p.chunks = p.chunks[1:]
	}
	p.cond.Broadcast()
	return k, nil
}

func (p *pipe) write(b []byte) (int, error) {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	sent := 0
	for {
		switch {
		case p.writerClosed:
			return sent, opError("write", net.ErrClosed)
		case p.readerClosed && !p.blackholed && !p.net.isBlocked(p.link):
			return sent, opError("write", syscall.EPIPE)
		case expired(p.writeDeadline):
			return sent, opError("write", os.ErrDeadlineExceeded)
		case sent == len(b):
			return sent, nil
		case p.size < pipeCapacity:
			k := min(len(b)-sent, pipeCapacity-p.size)
			p.send(chunk{data: append([]byte(nil), b[sent:sent+k]...)})
			sent += k
		default:
			waitUntil(p.cond, p.writeDeadline)
		}
	}
}

func expired(t time.Time) bool { return !t.IsZero() && !time.Now().Before(t) }
