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

// memoryDocuments stores one document in memory, in place of the platform.
type memoryDocuments struct {
	stored adminapi.Document
	// forcedState, if set, is the outcome of every Apply.
	forcedState adminapi.ApplyState
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
	if m.forcedState != "" {
		return adminapi.Outcome{State: m.forcedState}, nil
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

// VersionsInForce implements adminapi.Fleet for one up-to-date instance.
func (m *memoryDocuments) VersionsInForce(context.Context, string) ([]adminapi.InstanceVersion, error) {
	return []adminapi.InstanceVersion{{Instance: "i1", Version: m.stored.Version}}, nil
}

// cliRunner runs commands against one server.
type cliRunner struct {
	address string
	stdout  bytes.Buffer
	stderr  bytes.Buffer
}

func startServer(t *testing.T, p adminapi.Dependencies) *cliRunner {
	t.Helper()
	s := adminapi.New(adminapi.Config{}, p, netio.TCP{}, clock.System{}, hclog.NewNullLogger())
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	return &cliRunner{address: server.Listener.Addr().String()}
}

func (c *cliRunner) run(input string, args ...string) int {
	c.stdout.Reset()
	c.stderr.Reset()
	return Run(context.Background(), Environment{
		Args:   append([]string{"--api", c.address}, args...),
		Stdin:  strings.NewReader(input),
		Stdout: &c.stdout,
		Stderr: &c.stderr,
		User:   "ana",
	})
}

// writeFile creates a temporary file and returns its path.
func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	is.New(t).NoErr(os.WriteFile(path, []byte(text), 0o600))
	return path
}

// Two operators edit version 1. The second apply command must change nothing, report
// the current version and its author, and return ExitConflict.
func TestApplyRace(t *testing.T) {
	is := is.New(t)
	store := &memoryDocuments{}
	c := startServer(t, adminapi.Dependencies{Documents: store, Fleet: store})
	is.Equal(c.run("", "apply", exampleFile), ExitUsage) // no version given
	is.Equal(c.run("", "apply", "--new", "--wait", exampleFile), ExitOK)
	is.True(strings.Contains(c.stdout.String(), "accepted as version 1"))

	is.Equal(c.run("", "get", "base-ligacoes"), ExitOK)
	edited := writeFile(t, "mine.ini", c.stdout.String())
	is.Equal(c.run("", "apply", edited), ExitOK)
	is.Equal(store.stored.By, "ana")
	is.True(!strings.Contains(store.stored.Text, versionPrefix)) // the version line is not stored

	is.Equal(c.run("", "apply", edited), ExitConflict)
	is.True(strings.Contains(c.stderr.String(), "version 2 by ana stands"))
	is.Equal(store.stored.Version, int64(2))
}

func TestApplyOutcomesHaveTheirExitCodes(t *testing.T) {
	is := is.New(t)
	store := &memoryDocuments{forcedState: adminapi.StateNotStored}
	c := startServer(t, adminapi.Dependencies{Documents: store})
	is.Equal(c.run("", "apply", "--new", exampleFile), ExitNotStored)
	store.forcedState = adminapi.StateOutcomeUnknown
	is.Equal(c.run("", "apply", "--new", exampleFile), ExitOutcomeUnknown)
	c.address = "127.0.0.1:1" // nothing listens here, so the request is not sent
	is.Equal(c.run("", "apply", "--new", exampleFile), ExitUnreachable)
}

// The instance stores the change and crashes before it responds. If the command
// reported that nothing was stored, the operator would apply the change again and
// could overwrite a later change of a colleague.
func TestApplyWithLostResponseIsUnknown(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		is.NoErr(err)
		is.NoErr(conn.(*net.TCPConn).Close())
	}))
	defer server.Close()
	c := &cliRunner{address: server.Listener.Addr().String()}
	is.Equal(c.run("", "apply", "--new", exampleFile), ExitOutcomeUnknown)
	is.True(strings.Contains(c.stderr.String(), string(adminapi.StateOutcomeUnknown)))
}

// i2 has an old version at first and then catches up, i3 never responds, and i4 is
// leaving and must not be waited for. The wait must end at its time limit and
// return only i3.
func TestWaitReturnsInstancesNotUpToDate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		queryVersions := func(context.Context) ([]adminapi.InstanceVersion, error) {
			i2Version := int64(4)
			if time.Since(start) > 3*time.Second {
				i2Version = 5
			}
			return []adminapi.InstanceVersion{
				{Instance: "i1", Version: 6}, {Instance: "i2", Version: i2Version},
				{Instance: "i3", Error: "no answer"}, {Instance: "i4", Leaving: true},
			}, nil
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		missing, err := waitUntilInForce(ctx, clock.System{}, queryVersions, 5)
		is.NoErr(err)
		is.Equal(missing, []adminapi.InstanceVersion{{Instance: "i3", Error: "no answer"}})
		is.Equal(time.Since(start), 10*time.Second)
	})
}

func TestWaitFailsWithoutAnyVersionList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		queryVersions := func(context.Context) ([]adminapi.InstanceVersion, error) { return nil, errors.New("platform down") }
		_, err := waitUntilInForce(ctx, clock.System{}, queryVersions, 5)
		is.True(err != nil)
	})
}

func TestCheckDistinguishesSettingsFromDocuments(t *testing.T) {
	is := is.New(t)
	c := startServer(t, adminapi.Dependencies{Documents: &memoryDocuments{}})
	is.Equal(c.run("", "check", exampleFile), ExitOK)
	is.Equal(c.run("", "check", "--remote", exampleFile), ExitOK)
	invalidFile := writeFile(t, "faulty.ini", "[service]\nname = x\ncolour = red\n")
	is.Equal(c.run("", "check", invalidFile), ExitInvalid)
	is.True(strings.Contains(c.stderr.String(), "faulty.ini:3"))
	is.Equal(c.run("", "check", "../../examples/instance.ini"), ExitOK)
	is.Equal(c.run("", "check", writeFile(t, "settings.ini", "[instance]\ncolour = red\n")), ExitInvalid)
	is.True(strings.Contains(c.stderr.String(), "settings.ini:2"))
}

var commandNames = []string{
	"serve", "check", "apply", "get", "list", "history", "versions", "status", "drain", "explain", "verifier", "codes", "version",
}

func TestEveryCommandHelpHasExample(t *testing.T) {
	is := is.New(t)
	c := startServer(t, adminapi.Dependencies{})
	is.Equal(c.run("", "--help"), ExitOK)
	is.True(strings.Contains(c.stdout.String(), "Example: topazrock"))
	for _, name := range commandNames {
		is.Equal(c.run("", name, "--help"), ExitOK) // name
		is.True(strings.Contains(c.stdout.String(), "Example: topazrock "+name))
	}
	is.Equal(c.run("", "no-such-command"), ExitUsage)
}

func TestVerifierAcceptsItsPassword(t *testing.T) {
	is := is.New(t)
	c := startServer(t, adminapi.Dependencies{})
	is.Equal(c.run("correct horse\n", "verifier"), ExitOK)
	_, err := document.ParseVerifier(strings.TrimSpace(c.stdout.String()))
	is.NoErr(err)
	is.Equal(c.run("", "verifier"), ExitUsage)
}

func TestDataIsPrintedAsTextAndJSON(t *testing.T) {
	is := is.New(t)
	store := &memoryDocuments{stored: adminapi.Document{Name: "base", Version: 3, By: "rui"}}
	c := startServer(t, adminapi.Dependencies{Documents: store, Fleet: store})
	for _, args := range [][]string{{"list"}, {"get", "base"}, {"history", "base"}, {"versions", "base"}, {"status"}} {
		is.Equal(c.run("", args...), ExitOK)
		is.True(strings.Contains(c.stdout.String(), "3")) // version 3
		is.Equal(c.run("", append(args, "--output", "json")...), ExitOK)
		is.True(strings.Contains(c.stdout.String(), `"version": 3`))
	}
	is.Equal(c.run("", "get", "other"), ExitNotFound)
}

// Scripts are written against the page, so it must list every command and exit code.
func TestDocumentationListsEveryCommandAndExitCode(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/ops/command-line.md")
	is.NoErr(err)
	rows := []string{
		"| 0 |", "| 1 |", "| 2 |", "| 3 |", "| 4 |", "| 5 |", "| 6 |", "| 7 |", "| 8 |", "| 9 |", "| 10 |",
	}
	is.Equal(len(rows), ExitNotAllInstances+1)
	for _, row := range rows {
		is.True(strings.Contains(string(page), row)) // row
	}
	for _, name := range commandNames {
		is.True(strings.Contains(string(page), "\n| `"+name)) // name
	}
}
