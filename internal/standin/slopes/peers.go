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

// echoMethod returns its parameters.
const echoMethod = "measure.echo"

// echoMessage is about as large as a small message between instances.
type echoMessage struct {
	Text string `json:"text"`
}

// startEchoServer starts a peer server that handles echoMethod.
func startEchoServer() (*peer.Server, string, error) {
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

// measurePeers opens connections to peers and leaves them idle. Both ends are in this
// process, so the memory is that of a peer with connections in both directions.
func measurePeers(ctx context.Context, _ Options) ([]Slope, error) {
	server, address, err := startEchoServer()
	if err != nil {
		return nil, err
	}
	defer server.Close()
	var memoryUse []Point
	var clients []*peer.Client
	defer func() {
		for _, c := range clients {
			c.Close()
		}
	}()
	memoryBefore := memoryInUse()
	for _, n := range []int{50, 100, 200, 400} {
		for len(clients) < n {
			client := peer.NewClient("measured", netio.TCP{})
			clients = append(clients, client)
			if err := client.Call(ctx, address, echoMethod, echoMessage{"open"}, &echoMessage{}); err != nil {
				return nil, err
			}
		}
		memoryUse = append(memoryUse, Point{float64(n), memoryInUse() - memoryBefore})
	}
	return []Slope{fitLine("connected peers", "bytes of memory, both ends", memoryUse)}, nil
}

// measureCalls calls a peer at several rates. The processor time covers both ends.
func measureCalls(ctx context.Context, o Options) ([]Slope, error) {
	server, address, err := startEchoServer()
	if err != nil {
		return nil, err
	}
	defer server.Close()
	network := &countingNetwork{}
	client := peer.NewClient("measured", network)
	defer client.Close()
	var cpu, bytes []Point
	for _, rate := range []int{50, 200, 500} {
		bytesBefore, cpuBefore := network.bytes.Load(), cpuTime()
		begin := time.Now()
		calls, err := callAtRate(ctx, client, address, rate, o.Window)
		if err != nil {
			return nil, err
		}
		seconds := time.Since(begin).Seconds()
		x := float64(calls) / seconds
		cpu = append(cpu, Point{x, (cpuTime() - cpuBefore).Seconds() / seconds})
		bytes = append(bytes, Point{x, float64(network.bytes.Load()-bytesBefore) / seconds})
	}
	return []Slope{
		fitLine("peer calls a second", "share of a core, both ends", cpu),
		fitLine("peer calls a second", "bytes a second", bytes),
	}, nil
}

// callAtRate calls echoMethod at a constant rate for the duration of the window, and
// returns the number of calls.
func callAtRate(ctx context.Context, client *peer.Client, address string, rate int, window time.Duration) (int, error) {
	begin, calls := time.Now(), 0
	interval := time.Second / time.Duration(rate)
	for time.Since(begin) < window {
		if err := client.Call(ctx, address, echoMethod, echoMessage{"sixteen bytes..."}, &echoMessage{}); err != nil {
			return calls, err
		}
		calls++
		next := begin.Add(time.Duration(calls) * interval)
		if err := clock.Sleep(ctx, clock.System{}, time.Until(next)); err != nil {
			return calls, err
		}
	}
	return calls, nil
}
