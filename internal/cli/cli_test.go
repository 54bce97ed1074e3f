package cli

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/adminapi"
	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/document"
	"github.com/topazrock/topazrock/internal/netio"
	"github.com/topazrock/topazrock/internal/result"
)

const exampleFile = "../../examples/base-ligacoes.ini"

// memoryDocuments keeps one document, as the platform would.
type memoryDocuments struct {
	stored adminapi.Document
	// force, if set, is the outcome of every apply.
	force adminapi.ApplyState
}

func (m *memoryDocuments) List() []adminapi.DocumentInfo {
	return []adminapi.DocumentInfo{{Name: m.stored.Name, Version: m.stored.Version}}
}

func (m *memoryDocuments) Get(_ context.Context, name string) (adminapi.Document, error) {
	if m.stored.Version == 0 || name != m.stored.Name {
		return adminapi.Document{}, result.New(result.NotFound, "no document %q", name)
	}
	return m.stored, nil
}

func (m *memoryDocuments) Check(name, text string) error {
	_, err := document.Parse(name, []byte(text))
	return err
}

func (m *memoryDocuments) Apply(_ context.Context, name, text string, ifVersion int64, by string) (adminapi.Outcome, error) {
	if m.force != "" {
		return adminapi.Outcome{State: m.force}, nil
	}
	if ifVersion != m.stored.Version {
		return adminapi.Outcome{State: adminapi.StateNotAccepted, Version: m.stored.Version, By: m.stored.By}, nil
	}
	m.stored = adminapi.Document{Name: name, Version: ifVersion + 1, By: by, Text: text}
	return adminapi.Outcome{State: adminapi.StateAccepted, Version: m.stored.Version}, nil
}

func (m *memoryDocuments) History(context.Context, string) ([]adminapi.Change, error) {
	return []adminapi.Change{{Version: m.stored.Version, By: m.stored.By}}, nil
}

// InForce implements adminapi.Fleet with one instance that is up to date.
func (m *memoryDocuments) InForce(context.Context, string) ([]adminapi.InstanceVersion, error) {
	return []adminapi.InstanceVersion{{Instance: "i1", Version: m.stored.Version}}, nil
}

// commandLine runs commands against one server.
type commandLine struct {
	address string
	out     bytes.Buffer
	errs    bytes.Buffer
}

func startServer(t *testing.T, p adminapi.Parts) *commandLine {
	t.Helper()
	s := adminapi.New(adminapi.Config{}, p, netio.TCP{}, clock.System{}, hclog.NewNullLogger())
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	return &commandLine{address: server.Listener.Addr().String()}
}

func (c *commandLine) run(input string, args ...string) int {
	c.out.Reset()
	c.errs.Reset()
	return Run(context.Background(), Environment{
		Args:   append([]string{"--api", c.address}, args...),
		Stdin:  strings.NewReader(input),
		Stdout: &c.out,
		Stderr: &c.errs,
		User:   "ana",
	})
}

// writeFile puts a text into a file of the test.
func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	is.New(t).NoErr(os.WriteFile(path, []byte(text), 0o600))
	return path
}

// Two operators edit version 1. The second to apply must be told which version
// stands and by whom, with an exit code of its own, and nothing may change.
func TestApplyRace(t *testing.T) {
	is := is.New(t)
	store := &memoryDocuments{}
	c := startServer(t, adminapi.Parts{Documents: store, Fleet: store})
	is.Equal(c.run("", "apply", exampleFile), ExitUsage) // no version named
	is.Equal(c.run("", "apply", "--new", "--wait", exampleFile), ExitOK)
	is.True(strings.Contains(c.out.String(), "accepted as version 1"))

	is.Equal(c.run("", "get", "base-ligacoes"), ExitOK)
	edited := writeFile(t, "mine.ini", c.out.String())
	is.Equal(c.run("", "apply", edited), ExitOK)
	is.Equal(store.stored.By, "ana")
	is.True(!strings.Contains(store.stored.Text, versionPrefix)) // the version line is not stored

	is.Equal(c.run("", "apply", edited), ExitConflict)
	is.True(strings.Contains(c.errs.String(), "version 2 by ana stands"))
	is.Equal(store.stored.Version, int64(2))
}

func TestApplyOutcomesHaveTheirExitCodes(t *testing.T) {
	is := is.New(t)
	store := &memoryDocuments{force: adminapi.StateNoEffect}
	c := startServer(t, adminapi.Parts{Documents: store})
	is.Equal(c.run("", "apply", "--new", exampleFile), ExitNoEffect)
	store.force = adminapi.StateSettling
	is.Equal(c.run("", "apply", "--new", exampleFile), ExitUnknown)
	c.address = "127.0.0.1:1" // nothing listens: the call never left
	is.Equal(c.run("", "apply", "--new", exampleFile), ExitUnreachable)
}

// The instance stores the change and dies before it answers. The command must
// not say that nothing happened: the operator would apply again over a
// colleague's later change.
func TestApplyWithLostAnswerIsUnknown(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		is.NoErr(err)
		is.NoErr(conn.(*net.TCPConn).Close())
	}))
	defer server.Close()
	c := &commandLine{address: server.Listener.Addr().String()}
	is.Equal(c.run("", "apply", "--new", exampleFile), ExitUnknown)
	is.True(strings.Contains(c.errs.String(), string(adminapi.StateSettling)))
}

// Instance i2 lags and then catches up; i3 never answers; i4 is leaving and
// must not be waited for. The wait ends at its limit and names i3 alone.
func TestWaitNamesTheInstancesThatDoNotReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		ask := func(context.Context) ([]adminapi.InstanceVersion, error) {
			late := int64(4)
			if time.Since(start) > 3*time.Second {
				late = 5
			}
			return []adminapi.InstanceVersion{
				{Instance: "i1", Version: 6}, {Instance: "i2", Version: late},
				{Instance: "i3", Error: "no answer"}, {Instance: "i4", Leaving: true},
			}, nil
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		missing, err := waitInForce(ctx, clock.System{}, ask, 5)
		is.NoErr(err)
		is.Equal(missing, []adminapi.InstanceVersion{{Instance: "i3", Error: "no answer"}})
		is.Equal(time.Since(start), 10*time.Second)
	})
}

func TestWaitWithoutAnyListIsAnError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		ask := func(context.Context) ([]adminapi.InstanceVersion, error) { return nil, errors.New("platform down") }
		_, err := waitInForce(ctx, clock.System{}, ask, 5)
		is.True(err != nil)
	})
}

func TestCheckTellsSettingsFromDocuments(t *testing.T) {
	is := is.New(t)
	c := startServer(t, adminapi.Parts{Documents: &memoryDocuments{}})
	is.Equal(c.run("", "check", exampleFile), ExitOK)
	is.Equal(c.run("", "check", "--remote", exampleFile), ExitOK)
	faulty := writeFile(t, "faulty.ini", "[service]\nname = x\ncolour = red\n")
	is.Equal(c.run("", "check", faulty), ExitInvalid)
	is.True(strings.Contains(c.errs.String(), "faulty.ini:3"))
	is.Equal(c.run("", "check", "../../examples/instance.ini"), ExitOK)
	is.Equal(c.run("", "check", writeFile(t, "settings.ini", "[instance]\ncolour = red\n")), ExitInvalid)
	is.True(strings.Contains(c.errs.String(), "settings.ini:2"))
}

var commandNames = []string{
	"serve", "check", "apply", "get", "list", "history", "versions", "status", "drain", "explain", "verifier", "codes", "version",
}

func TestEveryCommandHelpsWithAnExample(t *testing.T) {
	is := is.New(t)
	c := startServer(t, adminapi.Parts{})
	is.Equal(c.run("", "--help"), ExitOK)
	is.True(strings.Contains(c.out.String(), "Example: topazrock"))
	for _, name := range commandNames {
		is.Equal(c.run("", name, "--help"), ExitOK) // name
		is.True(strings.Contains(c.out.String(), "Example: topazrock "+name))
	}
	is.Equal(c.run("", "no-such-command"), ExitUsage)
}

func TestVerifierAcceptsItsPassword(t *testing.T) {
	is := is.New(t)
	c := startServer(t, adminapi.Parts{})
	is.Equal(c.run("correct horse\n", "verifier"), ExitOK)
	_, err := document.ParseVerifier(strings.TrimSpace(c.out.String()))
	is.NoErr(err)
	is.Equal(c.run("", "verifier"), ExitUsage)
}

func TestDataIsPrintedAsTextAndJSON(t *testing.T) {
	is := is.New(t)
	store := &memoryDocuments{stored: adminapi.Document{Name: "base", Version: 3, By: "rui"}}
	c := startServer(t, adminapi.Parts{Documents: store, Fleet: store})
	for _, args := range [][]string{{"list"}, {"get", "base"}, {"history", "base"}, {"versions", "base"}, {"status"}} {
		is.Equal(c.run("", args...), ExitOK)
		is.True(strings.Contains(c.out.String(), "3")) // version 3
		is.Equal(c.run("", append(args, "--output", "json")...), ExitOK)
		is.True(strings.Contains(c.out.String(), `"version": 3`))
	}
	is.Equal(c.run("", "get", "other"), ExitNotFound)
}

// The page is what scripts are written against.
func TestPageListsEveryCommandAndExitCode(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/ops/command-line.md")
	is.NoErr(err)
	rows := []string{
		"| 0 |", "| 1 |", "| 2 |", "| 3 |", "| 4 |", "| 5 |", "| 6 |", "| 7 |", "| 8 |", "| 9 |", "| 10 |",
	}
	is.Equal(len(rows), ExitNotEverywhere+1)
	for _, row := range rows {
		is.True(strings.Contains(string(page), row)) // row
	}
	for _, name := range commandNames {
		is.True(strings.Contains(string(page), "\n| `"+name)) // name
	}
}
