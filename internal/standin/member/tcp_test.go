package member

import (
	"database/sql"
	"net"
	"testing"

	_ "github.com/lib/pq" // registers the driver
	"github.com/matryer/is"
	"github.com/topazrock/topazrock/internal/netio"
)

func TestDriverOverTCP(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	is.NoErr(l.Close())
	n := New(Options{Address: address, Primary: address, Network: netio.TCP{}})
	is.NoErr(n.Start())
	defer n.Stop()
	db, err := sql.Open("postgres", "postgres://u@"+address+"/g?sslmode=disable")
	is.NoErr(err)
	defer db.Close()
	tx, err := db.Begin()
	is.NoErr(err)
	_, err = tx.Exec("INSERT INTO kv (k, v) VALUES ($1, $2)", "a", "1")
	is.NoErr(err)
	is.NoErr(tx.Commit())
	var v string
	is.NoErr(db.QueryRow("SELECT v FROM kv WHERE k = $1", "a").Scan(&v))
	is.Equal(v, "1")
	var count int
	is.NoErr(db.QueryRow("SELECT count(*) FROM kv").Scan(&count))
	is.Equal(count, 1)
}
