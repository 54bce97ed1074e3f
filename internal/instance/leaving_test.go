package instance

import (
	"testing"
	"time"

	"github.com/topazrock/topazrock/internal/platform"
	"github.com/topazrock/topazrock/internal/standin/member"
)

// The platform lists a replica as leaving while callers read. Two seconds later
// no read reaches it any more and no caller's connection to it is left, and
// reads go on elsewhere without an error.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	inBed(t, func(b *bed) {
		c := b.mustConnect(2, "")
		b.exec(c, "INSERT INTO kv (k, v) VALUES ('a', '1')")
		for range 20 {
			b.is.Equal(b.value(c, "a", agedRead), "1")
		}
		before := b.nodes[2].Reads()
		b.is.True(before != member.Reads{})
		list := b.inventory()
		list.Upstreams = []platform.Upstream{{Address: memberAddress(2), Leaving: true}}
		b.store.SetInventory(list)
		time.Sleep(2 * time.Second)
		before = b.nodes[2].Reads()
		for range 20 {
			b.is.Equal(b.value(c, "a", agedRead), "1")
			b.is.Equal(b.value(c, "a", freshRead), "1")
		}
		b.is.Equal(b.nodes[2].Reads(), before)
		b.is.Equal(b.nodes[2].Connections().Open, 0)
	})
}

// The platform lists the primary as leaving. A replica takes over within the
// next seconds, the callers' writes go there, and the old primary gets none.
func TestLeavingPrimaryHandsOver(t *testing.T) {
	inBed(t, func(b *bed) {
		c := b.mustConnect(1, "")
		b.exec(c, "INSERT INTO kv (k, v) VALUES ('a', '1')")
		list := b.inventory()
		list.Upstreams = []platform.Upstream{{Address: memberAddress(0), Leaving: true}}
		b.store.SetInventory(list)
		time.Sleep(4 * time.Second)
		b.exec(c, "UPDATE kv SET v = '2' WHERE k = 'a'")
		b.is.Equal(b.value(c, "a", freshRead), "2")
		b.is.True(b.nodes[0].Status().Role != "primary")
	})
}
