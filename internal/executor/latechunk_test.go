package executor

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/topazrock/topazrock/internal/clock"
)

// Guards against a chunk that a caller receives after the error of its unit because the home's
// connection broke while the chunk was being passed on.
func TestChunkInProgressEndsBeforeItsUnit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		peers := &fakeRelayPeers{order: []string{"h1"}, homes: map[string]*fakeRelayHome{"h1": {err: errors.New("connection lost")}}}
		peers.router = NewRouter("self", "self:1", peers, peers, clock.System{}, NewMetrics(prometheus.NewRegistry()))
		peers.onUnit = func() {
			raw, err := json.Marshal(answerChunk{ID: peers.unitIDs[0], Bytes: []byte("rows")})
			is.NoErr(err)
			go func() { _, _ = peers.router.servePartial(context.Background(), "", raw) }()
			synctest.Wait()
		}
		var passingOn atomic.Bool
		_, err := peers.router.Execute(t.Context(), newRelayRead(), func([]byte) error {
			passingOn.Store(true)
			time.Sleep(time.Second)
			passingOn.Store(false)
			return nil
		})
		late := passingOn.Load()
		time.Sleep(time.Second)
		is.True(err != nil)
		is.True(!late)
	})
}
