package executor

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/result"
)

// restartableHome is a home whose instance keeps its name and addresses across restarts.
type restartableHome struct {
	router  *Router
	group   *Group
	cluster *fakeCluster
}

// start replaces the home's process.
func (h *restartableHome) start() {
	h.router = NewRouter("i", "i:1", nil, nil, clock.System{}, NewMetrics(prometheus.NewRegistry()))
	h.addGroup()
}

// returnHome makes the instance home to the group again after it was not, in the same process.
func (h *restartableHome) returnHome() {
	h.router.RetireGroup("g")
	h.router.RemoveGroup(h.group)
	h.addGroup()
}

func (h *restartableHome) addGroup() {
	h.group, h.cluster = newFakeGroup(&fakeMember{opensTransaction: true}, &fakeMember{}, &fakeMember{})
	h.group.Instance = "i"
	h.router.AddGroup(h.group)
}

// execute runs a write of a peer's caller in a transaction; without an ID, the write opens it.
func (h *restartableHome) execute(t *testing.T, transaction string) (*execution.Reply, error) {
	t.Helper()
	u := newWrite("w")
	u.Transaction, u.BeginsTransaction = transaction, transaction == ""
	raw, err := json.Marshal(u)
	is.New(t).NoErr(err)
	reply, err := h.router.serveExecute(t.Context(), "entry", raw)
	if err != nil {
		return nil, err
	}
	return reply.(*execution.Reply), nil
}

// Guards against a statement, a commit or a rollback that runs inside another caller's transaction
// because its own was lost with its home and the home gave its ID out again.
func TestIDOfALostTransactionNamesNoOtherTransaction(t *testing.T) {
	returns := map[string]func(*restartableHome){"restart": (*restartableHome).start, "home again": (*restartableHome).returnHome}
	for name, loseTransactions := range returns {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				h := &restartableHome{}
				h.start()
				lost, err := h.execute(t, "")
				is.NoErr(err)
				// Instances of earlier builds route a unit by the instance in front of the ID.
				owner, ok := transactionOwner(lost.Transaction)
				is.True(ok)
				is.Equal(owner, "i")
				loseTransactions(h)
				other, err := h.execute(t, "")
				is.NoErr(err)
				before := h.cluster.statementsAt("p")

				_, err = h.execute(t, lost.Transaction)
				e, ok := result.As(err)
				is.True(ok)
				is.Equal(e.Code, result.TransactionLost)
				is.Equal(h.cluster.statementsAt("p"), before)
				h.router.AbandonTransaction("g", lost.Transaction)
				time.Sleep(time.Second)
				is.Equal(h.group.OpenTransactions(), 1)

				_, err = h.execute(t, other.Transaction)
				is.NoErr(err)
				h.router.AbandonTransaction("g", other.Transaction)
				time.Sleep(time.Second)
				is.Equal(h.group.OpenTransactions(), 0)
			})
		})
	}
}
