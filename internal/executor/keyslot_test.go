package executor

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/document"
	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/result"
	"github.com/topazrock/topazrock/internal/wire"
)

// Guards against a slot that stays in use because the transaction that it was granted for ended
// with the refusal of its request key.
func TestRefusedKeyGivesItsSlotBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		refusing := &fakeMember{opensTransaction: true, keyFailure: &wire.Failure{Kind: wire.FailureReadOnly}}
		g, _ := newFakeGroup(refusing, &fakeMember{}, &fakeMember{})
		g.Service().RequestClasses = []document.RequestClass{{Name: "once", AtMostOnce: true}}
		for range 20 {
			u := &execution.Unit{ID: "u", Group: "g", Class: "once", Key: "k", Timeout: time.Second, BeginsTransaction: true, Messages: []byte("begin")}
			_, err := g.Execute(t.Context(), u, nil)
			e, ok := result.As(err)
			is.True(ok)
			is.Equal(e.Code, result.UpstreamUnreachable)
		}
	})
}
