package instance

import (
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/topazrock/topazrock/internal/document"
)

// workspaceDocument returns the cluster's document with two more accounts, each in its own
// workspace. One workspace has a limit and its own connections.
func workspaceDocument(t *testing.T) string {
	verifier, err := document.NewVerifier(testPassword)
	if err != nil {
		t.Fatal(err)
	}
	return testDocument() + `
[user north]
workspace = north
verifier  = ` + verifier + `

[user south]
workspace = south
verifier  = ` + verifier + `

[workspace north]
rate        = 10
burst       = 10
connections = own

[workspace south]
`
}

// connectAs opens a session as the given user.
func (tc *testCluster) connectAs(i int, user string) *pgx.Conn {
	tc.t.Helper()
	c := tc.config(i, "")
	c.User = user
	conn, err := pgx.ConnectConfig(ctx, c)
	tc.is.NoErr(err)
	tc.callerConns = append(tc.callerConns, conn)
	return conn
}

// Guards against PostgreSQL callers that exceed their workspace's limit, and against refusing
// callers of other workspaces while one workspace is at its limit.
func TestWorkspaceLimitAppliesToItsAccounts(t *testing.T) {
	withCluster(t, func(tc *testCluster) {
		tc.apply(workspaceDocument(t), 1)
		time.Sleep(5 * time.Second)
		served, refused := 0, 0
		north, south := tc.connectAs(0, "north"), tc.connectAs(0, "south")
		for range 100 {
			_, err := north.Exec(ctx, "SELECT v FROM kv WHERE k = 'a' /*request='pending-visits'*/")
			switch sqlState(err) {
			case "":
				served++
			case "TD030":
				refused++
			default:
				t.Fatal(err)
			}
			tc.exec(south, "SELECT v FROM kv WHERE k = 'a' /*request='pending-visits'*/")
			time.Sleep(20 * time.Millisecond)
		}
		tc.is.True(served >= 20 && served <= 40)
		tc.is.Equal(served+refused, 100)
		use := tc.instances[0].quotaGuard.Usage("base/north")
		tc.is.Equal(use.Refused, uint64(refused))
	})
}

// Guards against users of a workspace that the document does not define, and limits that
// allow no operation.
func TestInvalidWorkspacesAreRejected(t *testing.T) {
	good := workspaceDocument(t)
	for text, want := range map[string]string{
		strings.Replace(good, "workspace = south", "workspace = west", 1): "no section [workspace west]",
		strings.Replace(good, "burst       = 10", "burst = 0.5", 1):       "less than one operation",
		strings.Replace(good, "rate        = 10", "rate = 0", 1):          "a burst without a rate",
	} {
		_, err := document.Parse("base.ini", []byte(text))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want %s", err, want)
		}
	}
}
