package instance

import (
	"testing"
	"time"

	"github.com/topazrock/topazrock/internal/platform"
	"github.com/topazrock/topazrock/internal/standin/member"
)

// The platform lists a replica as leaving while callers read. Two seconds later no read
// reaches it, no caller's connection to it is open, and reads continue at other members
// without an error.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	withCluster(t, func(tc *testCluster) {
		c := tc.mustConnect(2, "")
		tc.exec(c, "INSERT INTO kv (k, v) VALUES ('a', '1')")
		for range 20 {
			tc.is.Equal(tc.readValue(c, "a", staleReadTag), "1")
		}
		before := tc.nodes[2].Reads()
		tc.is.True(before != member.Reads{})
		list := tc.inventory()
		list.Upstreams = []platform.Upstream{{Address: memberAddress(2), Leaving: true}}
		tc.store.SetInventory(list)
		time.Sleep(2 * time.Second)
		before = tc.nodes[2].Reads()
		for range 20 {
			tc.is.Equal(tc.readValue(c, "a", staleReadTag), "1")
			tc.is.Equal(tc.readValue(c, "a", freshReadTag), "1")
		}
		tc.is.Equal(tc.nodes[2].Reads(), before)
		tc.is.Equal(tc.nodes[2].Connections().Open, 0)
	})
}

// The platform lists the primary as leaving. A replica takes over within the next seconds,
// callers' writes go there, and the old primary gets none.
func TestLeavingPrimaryHandsOver(t *testing.T) {
	withCluster(t, func(tc *testCluster) {
		c := tc.mustConnect(1, "")
		tc.exec(c, "INSERT INTO kv (k, v) VALUES ('a', '1')")
		list := tc.inventory()
		list.Upstreams = []platform.Upstream{{Address: memberAddress(0), Leaving: true}}
		tc.store.SetInventory(list)
		time.Sleep(4 * time.Second)
		tc.exec(c, "UPDATE kv SET v = '2' WHERE k = 'a'")
		tc.is.Equal(tc.readValue(c, "a", freshReadTag), "2")
		tc.is.True(tc.nodes[0].Status().Role != "primary")
	})
}
