package instance

import (
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
)

const (
	agedRead  = " /*request='pending-visits'*/"
	freshRead = " /*request='application'*/"
)

func (b *bed) value(c *pgx.Conn, key, tag string) string {
	b.t.Helper()
	var v string
	b.is.NoErr(c.QueryRow(ctx, "SELECT v FROM kv WHERE k = $1"+tag, key).Scan(&v))
	return v
}

// A clerk writes through one instance while the replica in fln-c is a second
// behind, and reads at once through fln-c with a class that accepts data of two
// seconds. Neither a session that carries its token nor one that carries none
// may miss the write: the token or the first read's barrier keeps that replica
// out.
func TestRoamingSessionReadsItsOwnWrite(t *testing.T) {
	for name, carries := range map[string]bool{"with a token": true, "without a token": false} {
		t.Run(name, func(t *testing.T) {
			inBed(t, func(b *bed) {
				writer := b.mustConnect(0, "")
				b.exec(writer, "INSERT INTO kv (k, v) VALUES ('a', 'old')")
				time.Sleep(time.Second)
				b.nodes[2].SetReplicationLag(time.Second)
				for i := range 6 {
					b.exec(writer, "UPDATE kv SET v = $1 WHERE k = 'a'", fmt.Sprint(i))
					carried := ""
					if carries {
						carried = token(writer)
					}
					b.is.Equal(b.value(b.mustConnect(2, carried), "a", agedRead), fmt.Sprint(i))
				}
			})
		})
	}
}

// After its first read a session reads through the same instance with old data
// allowed, and gets it from a replica; its own write still comes first.
func TestAgedReadsComeFromReplicas(t *testing.T) {
	inBed(t, func(b *bed) {
		c := b.mustConnect(0, "")
		b.exec(c, "INSERT INTO kv (k, v) VALUES ('a', '1')")
		start := time.Now()
		for range 20 {
			b.is.Equal(b.value(c, "a", agedRead), "1")
		}
		b.is.True(time.Since(start) < time.Second)
		b.is.True(b.answered("pending-visits", "replica") >= 20)
		b.is.Equal(b.answered("pending-visits", "primary"), 0.0)
	})
}

// One replica is cut off from its primary and falls behind for ever. Reads go on
// at the other, none waits for the lost one, and no answer is older than asked.
func TestReplicaFarBehindTakesNoReads(t *testing.T) {
	inBed(t, func(b *bed) {
		c := b.mustConnect(0, "")
		b.exec(c, "INSERT INTO kv (k, v) VALUES ('a', 'old')")
		carried := token(c)
		b.net.Cut(memberHost(0), memberHost(2))
		time.Sleep(3 * time.Second)
		b.exec(c, "UPDATE kv SET v = 'new' WHERE k = 'a'")
		time.Sleep(3 * time.Second)
		for i := range 3 {
			for range 10 {
				b.is.Equal(b.value(b.mustConnect(i, ""), "a", agedRead), "new")
			}
			b.is.Equal(b.value(b.mustConnect(i, ""), "a", freshRead), "new")
			b.is.Equal(b.value(b.mustConnect(i, carried), "a", agedRead), "new")
		}
	})
}

// The primary dies after a session wrote. The session's token is of the old
// term; at the new primary it is held against the new term's start, so that the
// session neither misses its write nor waits for a position of the old log.
func TestTokenOutlivesItsPrimary(t *testing.T) {
	inBed(t, func(b *bed) {
		c := b.mustConnect(1, "")
		b.exec(c, "INSERT INTO kv (k, v) VALUES ('a', '1')")
		carried := token(c)
		b.nodes[0].Kill()
		time.Sleep(3 * time.Second)
		reader := b.mustConnect(2, carried)
		b.is.Equal(b.value(reader, "a", agedRead), "1")
		b.exec(reader, "UPDATE kv SET v = '2' WHERE k = 'a'")
		b.is.Equal(b.value(b.mustConnect(1, ""), "a", freshRead), "2")
	})
}
