package membership

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/topazrock/topazrock/internal/peer"
	"github.com/topazrock/topazrock/internal/platform"
)

// counted counts the bytes of parameters and answers.
type counted struct {
	port
	bytes int
}

func (c *counted) Call(ctx context.Context, address, method string, params, reply any) error {
	err := c.port.Call(ctx, address, method, params, reply)
	asked, _ := json.Marshal(params)
	answered, _ := json.Marshal(reply)
	c.bytes += len(asked) + len(answered)
	return err
}

// BenchmarkPull is one beat of an instance that gets the list from a peer:
// with the same list, and with one that differs in two instances.
func BenchmarkPull(b *testing.B) {
	for _, n := range []int{100, 1000, 7400} {
		for _, differs := range []bool{false, true} {
			b.Run(fmt.Sprintf("differs=%t/instances=%d", differs, n), func(b *testing.B) {
				all := fleet(n + 1)
				lists := []list{newList(all[:n], nil, time.Now()), newList(all[1:], nil, time.Now())}
				w := &wire{handlers: map[string]map[string]peer.Handler{}, dead: map[string]bool{}}
				d := &bed{wire: w, all: all}
				source, follower := d.newView(1, nil, nil), d.newView(2, nil, nil)
				c := &counted{port: port{w, all[2].PeerAddress}}
				follower.options.Peers = c
				source.held, follower.held = lists[0], lists[0]
				for i := 1; b.Loop(); i++ {
					if differs {
						source.held = lists[i%2]
						source.held.readAt = time.Now()
						follower.held.readAt = time.Now().Add(-time.Second)
					}
					if err := follower.pull(context.Background(), all[1].PeerAddress); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(c.bytes)/float64(b.N), "bytes/beat")
			})
		}
	}
}

// BenchmarkRead is one reading of the platform's list by a relay, without the
// platform's answer and its decoding.
func BenchmarkRead(b *testing.B) {
	for _, n := range []int{100, 1000, 7400} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			api := &listAPI{list: platform.Inventory{Instances: fleet(n)}}
			m := newMembers(api, api.list.Instances[0], 1)
			for b.Loop() {
				if err := m.Refresh(context.Background()); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
