package memnet

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// pipeBound is how many bytes a pipe holds before writes block.
const pipeBound = 1 << 20

// chunk is what travels: bytes, or the end of the stream as an error.
type chunk struct {
	data    []byte
	end     error
	arrives time.Time
}

// pipe is one direction of a connection.
type pipe struct {
	net  *Network
	link link
	// cond wakes the reader and the writer of this pipe.
	cond          *sync.Cond
	chunks        []chunk
	size          int
	silent        bool
	readerGone    bool
	writerGone    bool
	readDeadline  time.Time
	writeDeadline time.Time
}

func newPipe(n *Network, l link) *pipe {
	return &pipe{net: n, link: l, cond: sync.NewCond(&n.mu)}
}

// send puts a chunk on its way. A silent pipe loses it. Caller holds the mutex.
func (p *pipe) send(c chunk) {
	if p.silent {
		return
	}
	c.arrives = time.Now().Add(p.net.latency[p.link])
	if k := len(p.chunks); k > 0 && p.chunks[k-1].arrives.After(c.arrives) {
		c.arrives = p.chunks[k-1].arrives
	}
	p.chunks = append(p.chunks, c)
	p.size += len(c.data)
	p.cond.Broadcast()
}

// loseUndelivered drops what has not arrived. Caller holds the mutex.
func (p *pipe) loseUndelivered() {
	arrived := p.chunks[:0]
	p.size = 0
	for _, c := range p.chunks {
		if time.Now().Before(c.arrives) || p.net.held(p.link) {
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
		case p.readerGone:
			return 0, opError("read", net.ErrClosed)
		case expired(p.readDeadline):
			return 0, opError("read", os.ErrDeadlineExceeded)
		case len(p.chunks) > 0 && !p.silent && !p.net.held(p.link):
			arrives := p.chunks[0].arrives
			if !time.Now().Before(arrives) {
				return p.take(b)
			}
			if wake.IsZero() || arrives.Before(wake) {
				wake = arrives
			}
		}
		waitUntil(p.cond, wake)
	}
}

// take copies out of the first chunk. An end stays for reads to come.
func (p *pipe) take(b []byte) (int, error) {
	c := &p.chunks[0]
	if c.end == io.EOF {
		return 0, io.EOF
	}
	if c.end != nil {
		return 0, opError("read", c.end)
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
		case p.writerGone:
			return sent, opError("write", net.ErrClosed)
		case p.readerGone && !p.silent && !p.net.held(p.link):
			return sent, opError("write", syscall.EPIPE)
		case expired(p.writeDeadline):
			return sent, opError("write", os.ErrDeadlineExceeded)
		case sent == len(b):
			return sent, nil
		case p.size < pipeBound:
			k := min(len(b)-sent, pipeBound-p.size)
			p.send(chunk{data: append([]byte(nil), b[sent:sent+k]...)})
			sent += k
		default:
			waitUntil(p.cond, p.writeDeadline)
		}
	}
}

func expired(t time.Time) bool { return !t.IsZero() && !time.Now().Before(t) }
