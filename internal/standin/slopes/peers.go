package slopes

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/netio"
	"github.com/topazrock/topazrock/internal/peer"
)

// echoMethod answers with what it is sent.
const echoMethod = "measure.echo"

// payload is about the size of a small message between instances.
type payload struct {
	Text string `json:"text"`
}

// startPeer serves echoMethod.
func startPeer() (*peer.Server, string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	server := peer.NewServer(hclog.NewNullLogger())
	server.Handle(echoMethod, func(_ context.Context, _ string, params json.RawMessage) (any, error) {
		return params, nil
	})
	go func() { _ = server.Serve(listener) }()
	return server, listener.Addr().String(), nil
}

// measurePeers opens connections to peers that are then idle. Both ends are in
// this process, so the memory is that of a peer that calls and is called.
func measurePeers(ctx context.Context, _ Options) ([]Slope, error) {
	server, address, err := startPeer()
	if err != nil {
		return nil, err
	}
	defer server.Close()
	var held []Point
	var clients []*peer.Client
	defer func() {
		for _, c := range clients {
			c.Close()
		}
	}()
	before := memory()
	for _, n := range []int{50, 100, 200, 400} {
		for len(clients) < n {
			client := peer.NewClient("measured", netio.TCP{})
			clients = append(clients, client)
			if err := client.Call(ctx, address, echoMethod, payload{"open"}, &payload{}); err != nil {
				return nil, err
			}
		}
		held = append(held, Point{float64(n), memory() - before})
	}
	return []Slope{fit("connected peers", "bytes of memory, both ends", held)}, nil
}

// measureCalls calls a peer at several rates. The processor time holds both ends.
func measureCalls(ctx context.Context, o Options) ([]Slope, error) {
	server, address, err := startPeer()
	if err != nil {
		return nil, err
	}
	defer server.Close()
	network := &countingNetwork{}
	client := peer.NewClient("measured", network)
	defer client.Close()
	var processor, bytes []Point
	for _, rate := range []int{50, 200, 500} {
		sent, used := network.bytes.Load(), processorTime()
		begin := time.Now()
		calls, err := callAtRate(ctx, client, address, rate, o.Window)
		if err != nil {
			return nil, err
		}
		seconds := time.Since(begin).Seconds()
		x := float64(calls) / seconds
		processor = append(processor, Point{x, (processorTime() - used).Seconds() / seconds})
		bytes = append(bytes, Point{x, float64(network.bytes.Load()-sent) / seconds})
	}
	return []Slope{
		fit("peer calls a second", "share of a core, both ends", processor),
		fit("peer calls a second", "bytes a second", bytes),
	}, nil
}

// callAtRate calls at a steady rate for the window and returns the number of calls.
func callAtRate(ctx context.Context, client *peer.Client, address string, rate int, window time.Duration) (int, error) {
	begin, calls := time.Now(), 0
	pause := time.Second / time.Duration(rate)
	for time.Since(begin) < window {
		if err := client.Call(ctx, address, echoMethod, payload{"sixteen bytes..."}, &payload{}); err != nil {
			return calls, err
		}
		calls++
		next := begin.Add(time.Duration(calls) * pause)
		if err := clock.Sleep(ctx, clock.System{}, time.Until(next)); err != nil {
			return calls, err
		}
	}
	return calls, nil
}
