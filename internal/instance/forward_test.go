package instance

import (
	"testing"
	"time"
)

// entry returns an instance of the bed that is not home to the group.
func (b *bed) entry() int {
	for i, n := range b.instances {
		if n.home(bedGroup) == nil {
			return i
		}
	}
	b.t.Fatal("every instance is home")
	return 0
}

// nearHome returns the home in the failure domain of an instance.
func (b *bed) nearHome(i int) int {
	return (i + len(bedDomains)) % b.size
}

// An instance that is not home to the group serves its callers through one that
// is: writes, reads of their own, transactions, keys, large answers and cancels.
func TestEntryInstanceForwardsEverything(t *testing.T) {
	inBedOf(t, 6, func(b *bed) {
		c := b.mustConnect(b.entry(), "")
		b.exec(c, "INSERT INTO kv (k, v) VALUES ($1, $2)", "a", "1")
		b.is.Equal(b.value(c, "a", agedRead), "1")
		tx, err := c.Begin(ctx)
		b.is.NoErr(err)
		_, err = tx.Exec(ctx, payFee)
		b.is.NoErr(err)
		b.is.NoErr(tx.Commit(ctx))
		_, err = c.Exec(ctx, payFee)
		b.is.Equal(state(err), "TR001")
		rows, err := c.Query(ctx, "SELECT repeat_rows(5000, 200)")
		b.is.NoErr(err)
		n := 0
		for rows.Next() {
			n++
		}
		b.is.NoErr(rows.Err())
		b.is.Equal(n, 5000)
		done := make(chan error)
		go func() {
			_, err := c.Exec(ctx, "SELECT pg_sleep(4)")
			done <- err
		}()
		time.Sleep(100 * time.Millisecond)
		b.cancelThrough(b.nearHome(b.entry()), c)
		b.is.Equal(state(<-done), "57014")
	})
}

// The connection between entry and home goes silent while a unit is under way.
// The caller hears that the outcome is unknown when its class's time is over, and
// the next unit goes over a new connection.
func TestSilentPeerConnection(t *testing.T) {
	inBedOf(t, 6, func(b *bed) {
		at := b.entry()
		c := b.mustConnect(at, "")
		b.exec(c, "INSERT INTO kv (k, v) VALUES ('a', '1')")
		for i := range b.instances {
			if i != at {
				b.net.Silence(instanceHost(at), instanceHost(i))
			}
		}
		start := time.Now()
		_, err := c.Exec(ctx, "UPDATE kv SET v = '2' WHERE k = 'a'")
		b.is.Equal(state(err), "TU005")
		b.is.True(time.Since(start) < 6*time.Second)
		b.exec(c, "UPDATE kv SET v = '3' WHERE k = 'a'")
		b.is.Equal(b.value(c, "a", freshRead), "3")
	})
}

// The near home is killed. Units that it had are of unknown outcome or, inside a
// transaction, lost with it; the next ones go to another home.
func TestHomeIsKilledUnderItsEntries(t *testing.T) {
	inBedOf(t, 6, func(b *bed) {
		at := b.entry()
		c := b.mustConnect(at, "")
		tx, err := c.Begin(ctx)
		b.is.NoErr(err)
		_, err = tx.Exec(ctx, "INSERT INTO kv (k, v) VALUES ('a', '1')")
		b.is.NoErr(err)
		b.killInstance(b.nearHome(at))
		_, err = tx.Exec(ctx, "INSERT INTO kv (k, v) VALUES ('b', '1')")
		b.is.True(state(err) == "TD025" || state(err) == "TU005")
		_, err = tx.Exec(ctx, "SELECT 1")
		b.is.Equal(state(err), "25P02")
		b.is.NoErr(tx.Rollback(ctx))
		b.exec(c, "INSERT INTO kv (k, v) VALUES ('c', '1')")
		b.is.Equal(b.value(c, "c", freshRead), "1")
		time.Sleep(time.Second)
		b.is.Equal(b.count(c), 1)
		b.stop[b.nearHome(at)]()
	})
}

// The near home drains while its entries' callers write through it. No request
// fails: what it has begun it ends, and new units go to another home.
func TestHomeDrainsUnderItsEntries(t *testing.T) {
	inBedOf(t, 6, func(b *bed) {
		at := b.entry()
		c := b.mustConnect(at, "")
		b.draining[b.nearHome(at)] = true
		done := make(chan int)
		quit := make(chan struct{})
		go func() {
			n := 0
			for {
				select {
				case <-quit:
					done <- n
					return
				default:
				}
				if _, err := c.Exec(ctx, "INSERT INTO kv (k, v) VALUES ('k', 'x') ON CONFLICT (k) DO UPDATE SET v = EXCLUDED.v"); err != nil {
					b.t.Errorf("request failed: %v", err)
				}
				n++
			}
		}()
		time.Sleep(200 * time.Millisecond)
		b.stop[b.nearHome(at)]()
		time.Sleep(2 * time.Second)
		close(quit)
		b.is.True(<-done > 20)
	})
}

// A caller opens a transaction and loses it before anything was proved of its
// past, and then reads data of an accepted age at a domain whose replica is
// behind. The read must still take the barrier of a first read.
func TestBareBeginProvesNothing(t *testing.T) {
	inBed(t, func(b *bed) {
		writer := b.mustConnect(0, "")
		b.exec(writer, "INSERT INTO kv (k, v) VALUES ('a', 'old')")
		time.Sleep(time.Second)
		b.nodes[2].SetReplicationLag(time.Second)
		reader := b.mustConnect(2, "")
		b.exec(reader, "BEGIN")
		b.net.Silence(instanceHost(2), memberHost(0))
		_, err := reader.Exec(ctx, "SELECT 1")
		b.is.True(err != nil)
		_, err = reader.Exec(ctx, "ROLLBACK")
		b.is.NoErr(err)
		b.exec(writer, "UPDATE kv SET v = 'new' WHERE k = 'a'")
		b.is.Equal(b.value(reader, "a", agedRead), "new")
	})
}
