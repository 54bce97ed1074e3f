package executor

import (
	"encoding/json"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/result"
	"github.com/topazrock/topazrock/internal/upstream"
)

// Guards against a home that is a version behind the entry instance and refuses units of an added database.
func TestHomeWithAnOlderManifestDoesNotRefuseAnAddedDatabase(t *testing.T) {
	is := is.New(t)
	instanceEnd, memberEnd := net.Pipe()
	t.Cleanup(func() { memberEnd.Close() })
	go answerQueries(memberEnd)
	r := NewRouter("home", "home:1", &homesWithDeadNearest{}, &homesWithDeadNearest{}, clock.System{}, NewMetrics(prometheus.NewRegistry()))
	r.AddGroup(benchmarkGroup(upstream.NewConn("r1", time.Now(), instanceEnd, pgproto3.NewFrontend(instanceEnd, instanceEnd))))
	query := pgproto3.Query{String: "SELECT v FROM kv WHERE k = 'a'"}
	messages, err := query.Encode(nil)
	is.NoErr(err)
	unit := execution.Unit{ID: "u", Group: "g", Class: "added", ReadOnly: true, Timeout: time.Second, Messages: messages, ReplyTo: "entry:1",
		Token: logpos.Token{Group: "g", TermPosition: logpos.TermPosition{Term: 1, Position: 10}}}
	params, err := json.Marshal(unit)
	is.NoErr(err)
	_, err = r.serveExecute(t.Context(), "entry:1", params)
	refusal, refused := result.As(err)
	is.True(!refused || refusal.Code != result.UnknownClass)
}
