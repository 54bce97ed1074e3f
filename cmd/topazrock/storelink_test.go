package main

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// storeLink is a loopback proxy between one instance and the store. Its faults leave connections
// open at both ends, as a device between them would: neither end sees a reset or a missing acknowledgement.
type storeLink struct {
	address, target string

	mu      sync.Mutex
	changed *sync.Cond
	conns   map[*linkConn]bool
	fault   linkFault
}

// linkFault is what a storeLink does to bytes while the fault lasts.
type linkFault struct {
	// holdUp and holdDown keep back what the instance and the store send.
	holdUp, holdDown bool
	// delay is added to each piece that the store sends.
	delay time.Duration
	// cutAnswer passes half of the store's next piece on and then closes the connection.
	cutAnswer bool
	// refuse closes each new connection.
	refuse bool
}

// linkConn is one connection through a storeLink.
type linkConn struct {
	instance, store net.Conn
	// silent is set when the connection carries nothing any more; closed when it has ended.
	silent, closed bool
}

func newStoreLink(t *testing.T, target string) *storeLink {
	l, err := net.Listen("tcp", "127.0.0.3:0")
	is.New(t).NoErr(err)
	s := &storeLink{address: l.Addr().String(), target: target, conns: make(map[*linkConn]bool)}
	s.changed = sync.NewCond(&s.mu)
	t.Cleanup(func() {
		l.Close()
		s.reset()
	})
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *storeLink) serve(instance net.Conn) {
	s.mu.Lock()
	refuse := s.fault.refuse
	s.mu.Unlock()
	store, err := net.Dial("tcp", s.target)
	if err != nil || refuse {
		instance.Close()
		if err == nil {
			store.Close()
		}
		return
	}
	c := &linkConn{instance: instance, store: store}
	s.mu.Lock()
	s.conns[c] = true
	s.mu.Unlock()
	go s.pass(c, instance, store, false)
	s.pass(c, store, instance, true)
}

// pass copies from one end to the other until either is closed. down is the direction to the instance.
func (s *storeLink) pass(c *linkConn, from, to net.Conn, down bool) {
	defer s.close(c)
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		piece, last, ok := s.admit(c, buffer[:n], down)
		if !ok {
			return
		}
		if _, err := to.Write(piece); err != nil || last {
			return
		}
	}
}

// admit waits until a piece may be passed on, and returns what of it is, and whether it is the last one.
func (s *storeLink) admit(c *linkConn, piece []byte, down bool) (admitted []byte, last, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if delay := s.fault.delay; down && delay > 0 {
		s.mu.Unlock()
		time.Sleep(delay)
		s.mu.Lock()
	}
	for !c.closed && (c.silent || down && s.fault.holdDown || !down && s.fault.holdUp) {
		s.changed.Wait()
	}
	if down && s.fault.cutAnswer && !c.closed {
		s.fault.cutAnswer = false
		return piece[:len(piece)/2], true, true
	}
	return piece, false, !c.closed
}

func (s *storeLink) close(c *linkConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.closed = true
	delete(s.conns, c)
	c.instance.Close()
	c.store.Close()
	s.changed.Broadcast()
}

// setFault replaces the fault that is in force.
func (s *storeLink) setFault(f linkFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.changed.Broadcast()
}

// silence makes the open connections carry nothing any more. New ones work.
func (s *storeLink) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.silent = true
	}
}

// reset closes the open connections.
func (s *storeLink) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closed = true
		c.instance.Close()
		c.store.Close()
	}
	s.changed.Broadcast()
}
