package instance

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
)

// hijack opens a caller's connection to instance i and detaches it from its driver.
func (tc *testCluster) hijack(i int) net.Conn {
	tc.t.Helper()
	h, err := tc.mustConnect(i, "").PgConn().Hijack()
	tc.is.NoErr(err)
	return h.Conn
}

// answerTo reads one answer and returns the code of its error, if any.
func answerTo(conn net.Conn) (code string, err error) {
	front := pgproto3.NewFrontend(conn, conn)
	for {
		m, err := front.Receive()
		if err != nil {
			return code, err
		}
		switch m := m.(type) {
		case *pgproto3.ErrorResponse:
			code = m.Code
		case *pgproto3.ReadyForQuery:
			return code, nil
		}
	}
}

// encodedBatch encodes one query in the messages of the extended protocol.
func encodedBatch(sql string) []byte {
	var bytes []byte
	for _, m := range []pgproto3.FrontendMessage{
		&pgproto3.Parse{Query: sql}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{},
	} {
		bytes, _ = m.Encode(bytes)
	}
	return bytes
}

// Guards against a request that is lost because its instance shuts down after reading a
// part of it.
func TestMessageHalfReadAtAStopIsServed(t *testing.T) {
	for _, message := range [][]byte{encodedQuery("SELECT count(*) FROM kv"), encodedBatch("SELECT count(*) FROM kv")} {
		checkSplitMessage(t, message)
	}
}

// checkSplitMessage splits a message after each of its bytes, and stops the instance
// between the two pieces.
func checkSplitMessage(t *testing.T, message []byte) {
	withCluster(t, func(tc *testCluster) {
		var all []net.Conn
		for first := 1; first < len(message); first++ {
			conn := tc.hijack(0)
			all = append(all, conn)
			go func() {
				_, _ = conn.Write(message[:first])
				time.Sleep(time.Second)
				_, _ = conn.Write(message[first:])
			}()
		}
		time.Sleep(100 * time.Millisecond)
		tc.stop[0]()
		for i, conn := range all {
			if code, err := answerTo(conn); code != "" || err != nil {
				t.Errorf("split after %d bytes: code %q, error %v", i+1, code, err)
			}
			conn.Close()
		}
	})
}

// Guards against a protocol error for a caller whose instance shuts down during the
// start-up of the session.
func TestStartHalfReadAtAStopIsTaken(t *testing.T) {
	withCluster(t, func(tc *testCluster) {
		c := tc.config(0, "")
		dial := c.DialFunc
		c.DialFunc = func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			return splitWriter{conn}, err
		}
		time.AfterFunc(100*time.Millisecond, tc.stop[0])
		conn, err := pgx.ConnectConfig(ctx, c)
		tc.is.NoErr(err)
		conn.Close(context.Background())
	})
}

// splitWriter writes each message in two pieces.
type splitWriter struct{ net.Conn }

// Write implements net.Conn.
func (s splitWriter) Write(p []byte) (int, error) {
	n, err := s.Conn.Write(p[:len(p)/2])
	if err != nil {
		return n, err
	}
	time.Sleep(200 * time.Millisecond)
	rest, err := s.Conn.Write(p[len(p)/2:])
	return n + rest, err
}

// Guards against a caller that sees a broken connection instead of the error that ends its
// session, because its next request was in flight.
func TestEndOfASessionIsReadWhenARequestCrossesIt(t *testing.T) {
	withCluster(t, func(tc *testCluster) {
		const delay = 2 * time.Millisecond
		tc.net.SetLatency(callerHost, instanceHost(0), delay)
		conn := tc.hijack(0)
		time.AfterFunc(delay/2, tc.stop[0])
		_, err := conn.Write(encodedQuery("SELECT count(*) FROM kv"))
		tc.is.NoErr(err)
		code, err := answerTo(conn)
		tc.is.Equal(code, "57P01") // admin_shutdown
		tc.is.True(err != nil)
	})
}

// Guards against a caller in a transaction whose connection is closed without an error when
// the drain times out.
func TestTransactionIsToldOfTheCutOff(t *testing.T) {
	withCluster(t, func(tc *testCluster) {
		conn := tc.hijack(0)
		_, err := conn.Write(encodedQuery("BEGIN"))
		tc.is.NoErr(err)
		code, err := answerTo(conn)
		tc.is.NoErr(err)
		tc.is.Equal(code, "")
		tc.stop[0]()
		code, err = answerTo(conn)
		tc.is.Equal(code, "57P01") // admin_shutdown
		tc.is.True(err != nil)
	})
}
