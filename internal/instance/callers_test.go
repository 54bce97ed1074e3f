package instance

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/lib/pq"
	"github.com/topazrock/topazrock/internal/clock"
)

// The ways of carrying a token in docs/CALLERS.md, as the page gives them. A
// session that is given another's token reads that session's write with a class
// that accepts old data; a token that is not taken would be refused, so a wrong
// one shows that each way reaches the instance.
func TestWaysOfCarryingATokenInTheGuide(t *testing.T) {
	inBed(t, func(b *bed) {
		writer := b.mustConnect(0, "")
		b.exec(writer, "INSERT INTO kv (k, v) VALUES ('a', '1')")
		carried := token(writer)
		b.is.True(carried != "")
		for name, read := range map[string]func(*bed, string) (string, error){
			"pgx, SET":        readAfterSet,
			"pgx, start-up":   readFromTheStart,
			"lib/pq, options": readThroughLibPQ,
		} {
			v, err := read(b, carried)
			b.is.NoErr(err)
			b.is.Equal(v, "1")
			_, err = read(b, "nonsense")
			if err == nil {
				t.Errorf("%s: a wrong token was not refused", name)
			}
		}
	})
}

const readOld = "SELECT v FROM kv WHERE k = $1" + agedRead

func readAfterSet(b *bed, carried string) (v string, err error) {
	c := b.mustConnect(1, "")
	if _, err := c.Exec(ctx, "SET topazrock.token = '"+carried+"'"); err != nil {
		return "", err
	}
	err = c.QueryRow(ctx, readOld, "a").Scan(&v)
	return v, err
}

func readFromTheStart(b *bed, carried string) (v string, err error) {
	config := b.config(2, "")
	config.RuntimeParams["topazrock.token"] = carried
	c, err := pgx.ConnectConfig(ctx, config)
	if err != nil {
		return "", err
	}
	defer c.Close(ctx)
	err = c.QueryRow(ctx, readOld, "a").Scan(&v)
	return v, err
}

func readThroughLibPQ(b *bed, carried string) (v string, err error) {
	dsn := "postgres://clerk:%s@%s/%s?sslmode=disable&options=-c%%20topazrock.token%%3D%s"
	connector, err := pq.NewConnector(fmt.Sprintf(dsn, bedPassword, instanceAddress(1), bedGroup, carried))
	if err != nil {
		return "", err
	}
	connector.Dialer(bedDialer{b})
	db := sql.OpenDB(connector)
	defer db.Close()
	err = db.QueryRow(readOld, "a").Scan(&v)
	return v, err
}

// A family's payment is sent again by a service that follows the guide, under the
// number of the payment. Both calls end well and one row is there, also when the
// number holds signs that a tag must encode.
func TestPaymentLoopOfTheGuide(t *testing.T) {
	inBed(t, func(b *bed) {
		for _, number := range []string{"2026-0017", "it's, 100%/x"} {
			for i := range 2 {
				b.is.NoErr(pay(ctx, b.mustConnect(i, ""), number))
			}
		}
		b.is.Equal(b.count(b.mustConnect(2, "")), 2)
	})
}

// pay is the loop of docs/CALLERS.md, on the bed's table.
func pay(ctx context.Context, conn *pgx.Conn, number string) error {
	sql := fmt.Sprintf("INSERT INTO kv (k, v) VALUES ($1, 'paid') /*request='fee-payment',key='%s'*/",
		url.PathEscape(number))
	for {
		_, err := conn.Exec(ctx, sql, pgx.QueryExecModeExec, number)
		var e *pgconn.PgError
		if !errors.As(err, &e) {
			return err
		}
		switch {
		case e.Code == "TR001":
			return nil
		case strings.HasPrefix(e.Code, "TU"):
			continue
		case strings.HasPrefix(e.Code, "TD") && retryAfter(e) > 0:
			if err := clock.Sleep(ctx, clock.System{}, retryAfter(e)); err != nil {
				return err
			}
		default:
			return err
		}
	}
}

func retryAfter(e *pgconn.PgError) time.Duration {
	ms, err := strconv.Atoi(strings.TrimPrefix(e.Detail, "retry_after_ms="))
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}
