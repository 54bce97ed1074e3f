package adminapi

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/inifile"
	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/member"
	"github.com/topazrock/topazrock/internal/netio"
	"github.com/topazrock/topazrock/internal/result"
)

// fakeDocuments returns the outcome and error set by the test from Apply.
type fakeDocuments struct {
	outcome Outcome
	err     error
	by      string
	version int64
	calls   int
}

func (f *fakeDocuments) List() []DocumentInfo { return []DocumentInfo{{Name: "base", Version: 7}} }

func (f *fakeDocuments) Get(_ context.Context, name string) (Document, error) {
	if name != "base" {
		return Document{}, result.New(result.NotFound, "no document %q", name)
	}
	return Document{Name: name, Version: 7, By: "ana", Text: "[service]"}, nil
}

func (f *fakeDocuments) Check(_, text string) error {
	if strings.Contains(text, "[service]") {
		return nil
	}
	return inifile.Problems{{File: "base", Line: 1, Reason: "first"}, {File: "base", Line: 2, Reason: "second"}}
}

func (f *fakeDocuments) Apply(_ context.Context, _, _ string, ifVersion int64, by string) (Outcome, error) {
	f.calls++
	f.version, f.by = ifVersion, by
	return f.outcome, f.err
}

func (f *fakeDocuments) History(context.Context, string) ([]Change, error) { return nil, nil }

// fakeLifecycle records whether Drain was called.
type fakeLifecycle struct{ draining bool }

func (f *fakeLifecycle) Ready() (bool, []string) { return true, nil }
func (f *fakeLifecycle) Drain()                  { f.draining = true }
func (f *fakeLifecycle) Draining() bool          { return f.draining }

func newTestServer(token string, p Dependencies) *Server {
	return New(Config{Token: token}, p, netio.TCP{}, clock.System{}, hclog.NewNullLogger())
}

// call handles one request from a remote address and decodes the Problem in the
// response, if there is one.
func call(s *Server, remote, method, path, body string, header ...string) (*httptest.ResponseRecorder, Problem) {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.RemoteAddr = remote
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, r)
	var p Problem
	if w.Header().Get("Content-Type") == problemType {
		_ = json.Unmarshal(w.Body.Bytes(), &p)
	}
	return w, p
}

const (
	local  = "127.0.0.1:5000"
	remote = "10.1.2.3:5000"
)

// An operator who mistakes "outcome unknown" for "did not take effect" applies the
// change twice and overwrites a colleague's; one who mistakes "not accepted" for
// "accepted" does not notice that the change is lost. The response must distinguish
// all outcomes of the store, and report errors without a code as unknown outcome.
func TestApplyReportsEachOutcome(t *testing.T) {
	cases := []struct {
		outcome Outcome
		err     error
		status  int
		code    result.Code
	}{
		{Outcome{State: StateAccepted, Version: 8}, nil, http.StatusOK, 0},
		{Outcome{State: StateNotAccepted, Version: 9, By: "rui"}, nil, http.StatusPreconditionFailed, result.VersionConflict},
		{Outcome{State: StateNotStored}, nil, http.StatusServiceUnavailable, result.DidNotTakeEffect},
		{Outcome{State: StateOutcomeUnknown}, nil, http.StatusGatewayTimeout, result.StillSettling},
		{Outcome{}, nil, http.StatusGatewayTimeout, result.StillSettling},
		{Outcome{}, errors.New("connection reset"), http.StatusGatewayTimeout, result.StillSettling},
		{Outcome{}, result.New(result.PlatformUnavailable, "down"), http.StatusServiceUnavailable, result.PlatformUnavailable},
		{Outcome{}, inifile.Problems{{Reason: "bad"}}, http.StatusUnprocessableEntity, result.DocumentInvalid},
	}
	for _, c := range cases {
		is := is.New(t)
		documents := &fakeDocuments{outcome: c.outcome, err: c.err}
		s := newTestServer("", Dependencies{Documents: documents})
		w, p := call(s, local, "PUT", "/v1/services/base", "[service]", "If-Match", `"7"`, OperatorHeader, "ana\x07")
		is.Equal(w.Code, c.status)
		is.Equal(p.Code, int(c.code))
		is.Equal(documents.version, int64(7))
		is.Equal(documents.by, "ana") // control characters are removed
		if c.outcome.State == StateNotAccepted {
			is.Equal(p.Version, int64(9))
			is.Equal(p.By, "rui")
		}
	}
}

// Without a version, an apply request could overwrite a change that the operator
// has not seen. It must be rejected before it reaches the store.
func TestApplyRequiresEditedVersion(t *testing.T) {
	is := is.New(t)
	documents := &fakeDocuments{outcome: Outcome{State: StateAccepted, Version: 1}}
	s := newTestServer("", Dependencies{Documents: documents})
	for _, match := range []string{"", "x", "0", "-1", "*"} {
		w, p := call(s, local, "PUT", "/v1/services/base", "[service]", "If-Match", match)
		is.Equal(w.Code, http.StatusBadRequest)
		is.Equal(p.Code, int(result.BadAdminRequest))
	}
	is.Equal(documents.calls, 0)
	w, _ := call(s, local, "PUT", "/v1/services/base", "[service]", "If-None-Match", "*")
	is.Equal(w.Code, http.StatusOK)
	is.Equal(documents.version, int64(0))
}

func TestChangesNeedTokenOrLoopback(t *testing.T) {
	cases := []struct {
		name, token, from string
		header            []string
		want              int
	}{
		{"loopback without token", "", local, nil, http.StatusAccepted},
		{"loopback, IPv6", "", "[::1]:5000", nil, http.StatusAccepted},
		{"another machine without token", "", remote, nil, http.StatusForbidden},
		{"token, right", "s3cret", remote, []string{"Authorization", "Bearer s3cret"}, http.StatusAccepted},
		{"token, wrong", "s3cret", remote, []string{"Authorization", "Bearer s3cre"}, http.StatusForbidden},
		{"token, missing on loopback", "s3cret", local, nil, http.StatusForbidden},
		{"web page of another origin", "", local, []string{"Sec-Fetch-Site", "cross-site"}, http.StatusForbidden},
	}
	for _, c := range cases {
		is := is.New(t)
		life := &fakeLifecycle{}
		s := newTestServer(c.token, Dependencies{Lifecycle: life})
		w, _ := call(s, c.from, "POST", "/v1/drain", "", c.header...)
		is.Equal(w.Code, c.want) // c.name
		is.Equal(life.draining, c.want == http.StatusAccepted)
	}
}

func TestRequestBodySizeIsLimited(t *testing.T) {
	is := is.New(t)
	s := newTestServer("", Dependencies{Documents: &fakeDocuments{}})
	w, p := call(s, local, "POST", "/v1/services/base/check", strings.Repeat("x", MaxDocumentSize+1))
	is.Equal(w.Code, http.StatusRequestEntityTooLarge)
	is.Equal(p.Code, int(result.StatementTooLarge))
}

func TestCheckListsEveryDocumentError(t *testing.T) {
	is := is.New(t)
	s := newTestServer("", Dependencies{Documents: &fakeDocuments{}})
	w, p := call(s, remote, "POST", "/v1/services/base/check", "nothing")
	is.Equal(w.Code, http.StatusUnprocessableEntity)
	is.Equal(p.Errors, []string{"base:1: first", "base:2: second"})
	w, _ = call(s, remote, "POST", "/v1/services/base/check", "[service]")
	is.Equal(w.Code, http.StatusNoContent)
}

// The load balancer must stop sending callers as soon as a drain starts. Health
// checks must still succeed, or the platform would kill the process during the
// drain.
func TestDrainFailsReadinessButNotHealth(t *testing.T) {
	is := is.New(t)
	s := newTestServer("", Dependencies{Lifecycle: &fakeLifecycle{}})
	w, _ := call(s, remote, "GET", "/readyz", "")
	is.Equal(w.Code, http.StatusOK)
	w, _ = call(s, local, "POST", "/v1/drain", "")
	is.Equal(w.Code, http.StatusAccepted)
	w, _ = call(s, remote, "GET", "/readyz", "")
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.True(strings.Contains(w.Body.String(), "draining"))
	w, _ = call(s, remote, "GET", "/healthz", "")
	is.Equal(w.Code, http.StatusOK)
}

func TestMissingDependenciesReturnResultCode(t *testing.T) {
	s := newTestServer("", Dependencies{})
	for _, r := range s.routes() {
		is := is.New(t)
		path := strings.ReplaceAll(r.path, "{name}", "base")
		w, p := call(s, local, r.method, path, "", "If-Match", "1")
		is.True(w.Code < 500 || p.Code != 0 || r.path == "/readyz") // r.path
	}
	is := is.New(t)
	_, p := call(s, local, "DELETE", "/v1/services/base", "")
	is.Equal(p.Code, int(result.NotFound))
}

func TestMetricsAreServed(t *testing.T) {
	is := is.New(t)
	registry := prometheus.NewRegistry()
	counter := prometheus.NewCounter(prometheus.CounterOpts{Name: "topazrock_test_total"})
	registry.MustRegister(counter)
	w, _ := call(newTestServer("", Dependencies{Metrics: registry}), remote, "GET", "/metrics", "")
	is.True(strings.Contains(w.Body.String(), "topazrock_test_total 0"))
}

// A replica that was re-attached after the tail of its log was discarded may report
// a position beyond the primary's. Shown as "no lag", it would look like the best
// candidate for promotion.
func TestGroupViewShowsLagOnlyWhenKnown(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	status := func(role member.Role, p logpos.Position, attached logpos.Term) member.Status {
		return member.Status{Role: role, EnteredTerm: 3, LastRecord: logpos.TermPosition{Term: 3, Position: p}, AttachedTerm: attached}
	}
	s := &group.Snapshot{
		Group: "g", Term: 3, Primary: "a", QuorumAttachedAt: now,
		Members: []group.MemberView{
			{Address: "a", Status: status(member.RolePrimary, 100, 3)},
			{Address: "b", Status: status(member.RoleReplica, 60, 3), FreshAsOf: now.Add(-time.Second)},
			{Address: "c", Status: status(member.RoleReplica, 900, 0)},
		},
	}
	v := newGroupView(s, now)
	is.Equal(v.State, GroupDegraded)
	is.Equal(v.Members[1].LagBytes, int64(40))
	is.Equal(v.Members[1].MaxAgeMillis, int64(1000))
	is.Equal(v.Members[2].LagBytes, int64(-1))
	is.Equal(newGroupView(s, now.Add(time.Minute)).State, GroupUnconfirmed)
	is.Equal(newGroupView(&group.Snapshot{}, now).State, GroupNoPrimary)
}
