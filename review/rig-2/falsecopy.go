//go:build reviewrig

package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/topazrock/topazrock/internal/netio"
)

const (
	// aheadBy is how far both replicas are behind as the first primary crashes.
	aheadBy = 600 * time.Millisecond
	// aheadWriters is the number of sessions that write until then, and aheadTime how long they do.
	aheadWriters = 20
	aheadTime    = 3 * time.Second
	// copiedWrites is the number of writes after the first primary is back.
	copiedWrites = 10
)

var errCut = errors.New("the member is cut off")

// cutNetwork is the network of a member that is cut off from the other members.
type cutNetwork struct{ netio.TCP }

// Dial implements netio.Dialer.
func (cutNetwork) Dial(context.Context, string) (net.Conn, error) { return nil, errCut }

// runFalseCopy lets a primary crash while both replicas are behind, and come back with its log, as a
// replica that is cut off from the new primary. The other replica then receives nothing. Writes that are
// acknowledged now are on the new primary alone, which crashes at the end.
func runFalseCopy(r *record, trouble bool) error {
	s, err := startSystem(r, zones)
	defer s.close()
	if err != nil {
		return err
	}
	if trouble {
		s.nodes[1].SetReplicationLag(aheadBy)
		s.nodes[2].SetReplicationLag(aheadBy)
	}
	writeAhead(s)
	r.printf("%s crashes; %s", memberID(0), s.positions())
	s.crashMember(0)
	time.Sleep(3 * time.Second)
	primary := s.primaryIndex()
	other := 3 - primary
	s.nodes[primary].SetReplicationLag(replicationLag)
	s.nodes[other].SetReplicationLag(replicationLag)
	if trouble {
		s.nodes[0].SetNetwork(cutNetwork{})
	}
	if err := s.returnMember(0); err != nil {
		return err
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		s.nodes[other].SetReplicationLag(time.Hour)
	}
	r.printf("%s is back: %s", memberID(0), s.roles())
	acked, err := writeCopied(s)
	if err != nil {
		return err
	}
	r.printf("%d of %d writes are acknowledged; %s", len(acked), copiedWrites, s.positions())
	s.nodes[other].SetReplicationLag(time.Hour)
	s.crashMember(primary)
	r.printf("%s crashes and stays down", memberID(primary))
	time.Sleep(3 * time.Second)
	r.printf("then: %s", s.roles())
	lost := 0
	for _, item := range acked {
		held := 0
		for i, n := range s.nodes {
			if i != primary && n.Rows("items")[item] == "v" {
				held++
			}
		}
		if held == 0 {
			lost++
		}
	}
	r.printf("acknowledged writes that only the crashed primary held: %d", lost)
	if lost > 0 {
		return fmt.Errorf("%w: %d of %d acknowledged writes were on the primary alone and are lost", errBroken, lost, len(acked))
	}
	return nil
}

// writeAhead writes through all instances for aheadTime.
func writeAhead(s *system) {
	stop := time.Now().Add(aheadTime)
	for g := range aheadWriters {
		go func() {
			c, err := openSession(s.instances[g%len(s.instances)].front, "pedido-ligacao")
			if err != nil {
				return
			}
			defer c.close()
			for k := 0; time.Now().Before(stop); k++ {
				if _, err := c.do(fmt.Sprintf("p%d.%d", g, k), fmt.Sprintf("WRITE x%d %d", g, k), 3*time.Second); err != nil {
					return
				}
			}
		}()
	}
	time.Sleep(time.Until(stop))
}

// writeCopied writes one item after the other and returns those that were acknowledged.
func writeCopied(s *system) ([]string, error) {
	c, err := openSession(s.instances[0].front, "pedido-ligacao")
	if err != nil {
		return nil, err
	}
	defer c.close()
	var acked []string
	for k := range copiedWrites {
		item := fmt.Sprintf("copied%d", k)
		a, err := c.do(item, "WRITE "+item+" v", 3*time.Second)
		if err != nil {
			return acked, err
		}
		s.record.printf("write %s: %s", item, strings.TrimSpace(a.code+" "+a.mac))
		if a.code == "" {
			acked = append(acked, item)
		}
	}
	return acked, nil
}
