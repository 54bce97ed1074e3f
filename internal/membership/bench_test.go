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

// byteCounter counts the bytes of parameters and replies.
type byteCounter struct {
	endpoint
	bytes int
}

func (c *byteCounter) Call(ctx context.Context, address, method string, params, reply any) error {
	err := c.endpoint.Call(ctx, address, method, params, reply)
	request, _ := json.Marshal(params)
	response, _ := json.Marshal(reply)
	c.bytes += len(request) + len(response)
	return err
}

// BenchmarkPull pulls the list from a peer once: with the same list, and with one that differs
// in two instances.
func BenchmarkPull(b *testing.B) {
	for _, n := range []int{100, 1000, 7400} {
		for _, differs := range []bool{false, true} {
			b.Run(fmt.Sprintf("differs=%t/instances=%d", differs, n), func(b *testing.B) {
				all := newInstances(n + 1)
				lists := []list{newList(all[:n], nil, time.Now()), newList(all[1:], nil, time.Now())}
				w := &network{handlers: map[string]map[string]peer.Handler{}, dead: map[string]bool{}}
				h := &harness{network: w, all: all}
				source, follower := h.newView(1, nil, nil), h.newView(2, nil, nil)
				c := &byteCounter{endpoint: endpoint{w, all[2].PeerAddress}}
				follower.options.Peers = c
				source.list, follower.list = lists[0], lists[0]
				for i := 1; b.Loop(); i++ {
					if differs {
						source.list = lists[i%2]
						source.list.readAt = time.Now()
						follower.list.readAt = time.Now().Add(-time.Second)
					}
					if err := follower.pullFrom(context.Background(), all[1].PeerAddress); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(c.bytes)/float64(b.N), "bytes/beat")
			})
		}
	}
}

// BenchmarkRead processes one read of the platform's list by a relay, without the platform's
// response time and decoding.
func BenchmarkRead(b *testing.B) {
	for _, n := range []int{100, 1000, 7400} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			api := &listAPI{list: platform.Inventory{Instances: newInstances(n)}}
			m := newMembers(api, api.list.Instances[0], 1)
			for b.Loop() {
				if err := m.Refresh(context.Background()); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
