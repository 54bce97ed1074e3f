package executor

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/execution"
)

// hungEntry is an entry instance that takes chunks and never accepts them.
type hungEntry struct{}

// Call implements peer.Caller.
func (hungEntry) Call(ctx context.Context, _, _ string, _, _ any) error {
	<-ctx.Done()
	return ctx.Err()
}

// Guards against a unit that waits without bound for an entry instance that hangs while it is sent
// a large answer: the slot and the connection to the member were held for as long.
func TestUnitOfHungEntryEndsAtItsTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		streaming := func() *fakeMember { return &fakeMember{chunk: []byte("rows")} }
		g, _ := newFakeGroup(streaming(), streaming(), streaming())
		r := NewRouter("i", "i:1", nil, hungEntry{}, clock.System{}, NewMetrics(prometheus.NewRegistry()))
		r.AddGroup(g)
		raw, err := json.Marshal(&execution.Unit{ID: "u", Group: "g", Class: "aged", ReplyTo: "entry", Timeout: time.Second, ReadOnly: true, Messages: []byte("read")})
		is.NoErr(err)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go func() { _, _ = r.serveExecute(ctx, "", raw) }()
		time.Sleep(time.Minute)
		active := g.activeUnits.Load()
		stop()
		synctest.Wait()
		is.Equal(active, int64(0))
	})
}
