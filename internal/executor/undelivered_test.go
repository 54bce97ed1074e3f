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

// Guards against a transaction that stays open because the peer that must learn of it is gone: it
// held its locks, its slot and its connection until the idle timeout.
func TestTransactionOfLostPeerIsRolledBack(t *testing.T) {
	for _, lost := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			opening := func() *fakeMember { return &fakeMember{delay: 100 * time.Millisecond, opensTransaction: true} }
			g, _ := newFakeGroup(opening(), opening(), opening())
			r := NewRouter("i", "i:1", nil, nil, clock.System{}, NewMetrics(prometheus.NewRegistry()))
			r.AddGroup(g)
			raw, err := json.Marshal(&execution.Unit{ID: "u", Group: "g", Class: "aged", Timeout: time.Second, BeginsTransaction: true, ReadOnly: true, Messages: []byte("read")})
			is.NoErr(err)
			ctx, loseConnection := context.WithCancel(t.Context())
			defer loseConnection()
			if lost {
				time.AfterFunc(50*time.Millisecond, loseConnection)
			}
			reply, err := r.serveExecute(ctx, "", raw)
			is.NoErr(err)
			time.Sleep(time.Second)
			open := 1
			if lost {
				open = 0
			}
			is.Equal(g.OpenTransactions(), open)
			g.AbandonTransaction("g", reply.(*execution.Reply).Transaction)
			time.Sleep(time.Second)
			is.Equal(g.OpenTransactions(), 0)
		})
	}
}
