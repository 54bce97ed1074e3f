package adminapi

import (
	"cmp"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/topazrock/topazrock/internal/inifile"
	"github.com/topazrock/topazrock/internal/result"
)

// OperatorHeader is the request header with the author of a change. The name is
// recorded but not verified: any client with the access token can set it.
const OperatorHeader = "Topazrock-Operator"

func (s *Server) listDocuments(w http.ResponseWriter, _ *http.Request) {
	if s.dependencies.Documents == nil {
		unavailable(w, "service documents")
		return
	}
	writeJSON(w, http.StatusOK, nonNil(s.dependencies.Documents.List()))
}

func (s *Server) getDocument(w http.ResponseWriter, r *http.Request) {
	if s.dependencies.Documents == nil {
		unavailable(w, "service documents")
		return
	}
	d, err := s.dependencies.Documents.Get(r.Context(), r.PathValue("name"))
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", etag(d.Version))
	writeJSON(w, http.StatusOK, d)
}

func (s *Server) checkDocument(w http.ResponseWriter, r *http.Request) {
	if s.dependencies.Documents == nil {
		unavailable(w, "service documents")
		return
	}
	text, err := readDocumentText(w, r)
	if err == nil {
		err = s.dependencies.Documents.Check(r.PathValue("name"), text)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) applyDocument(w http.ResponseWriter, r *http.Request) {
	if s.dependencies.Documents == nil {
		unavailable(w, "service documents")
		return
	}
	version, err := editedVersion(r)
	if err != nil {
		writeError(w, err)
		return
	}
	text, err := readDocumentText(w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	name, by := r.PathValue("name"), operatorName(r)
	outcome, err := s.dependencies.Documents.Apply(r.Context(), name, text, version, by)
	if err != nil {
		writeError(w, addResultCode(err))
		return
	}
	s.log.Info("Apply request handled.", "service", name, "by", by, "state", outcome.State, "version", outcome.Version)
	writeOutcome(w, outcome)
}

// addResultCode gives an error without a result code the code StillSettling, which means
// that the outcome is unknown: the change may have been stored before the error occurred.
func addResultCode(err error) error {
	var problems inifile.Problems
	if _, ok := result.As(err); ok || errors.As(err, &problems) {
		return err
	}
	return result.New(result.StillSettling, "%v", err)
}

// writeOutcome sends the response to an apply request. Each state has its own
// code: a client that mistook "still settling" for "did not take effect" would
// apply the change twice.
func writeOutcome(w http.ResponseWriter, o Outcome) {
	var code result.Code
	switch o.State {
	case StateAccepted:
		w.Header().Set("ETag", etag(o.Version))
		writeJSON(w, http.StatusOK, o)
		return
	case StateNotAccepted:
		code = result.VersionConflict
	case StateNotStored:
		code = result.DidNotTakeEffect
	default:
		code = result.StillSettling
	}
	p := newProblem(result.New(code, "%s", cmp.Or(o.Detail, string(o.State))))
	if o.State == StateNotAccepted {
		p.Version, p.By = o.Version, o.By
		p.Detail = "version " + strconv.FormatInt(o.Version, 10) + " by " + o.By + " stands"
	}
	writeProblem(w, p)
}

func (s *Server) documentHistory(w http.ResponseWriter, r *http.Request) {
	if s.dependencies.Documents == nil {
		unavailable(w, "service documents")
		return
	}
	changes, err := s.dependencies.Documents.History(r.Context(), r.PathValue("name"))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, nonNil(changes))
}

func (s *Server) documentVersions(w http.ResponseWriter, r *http.Request) {
	if s.dependencies.Fleet == nil {
		unavailable(w, "versions of other instances")
		return
	}
	versions, err := s.dependencies.Fleet.VersionsInForce(r.Context(), r.PathValue("name"))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, nonNil(versions))
}

// editedVersion returns the version that the edit is based on, from the header If-Match;
// zero if the header If-None-Match: * states that the document does not exist yet.
func editedVersion(r *http.Request) (int64, error) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, nil
	}
	match := strings.Trim(r.Header.Get("If-Match"), `"`)
	version, err := strconv.ParseInt(match, 10, 64)
	if err != nil || version < 1 {
		return 0, result.New(result.BadAdminRequest,
			"send If-Match with the version that was edited, or If-None-Match: * for a new document")
	}
	return version, nil
}

// readDocumentText reads a document of at most MaxDocumentSize from the body.
func readDocumentText(w http.ResponseWriter, r *http.Request) (string, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxDocumentSize))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return "", result.New(result.StatementTooLarge, "a document may have %d bytes", MaxDocumentSize)
	}
	if err != nil {
		return "", result.New(result.BadAdminRequest, "the body ended early").WithCause(err)
	}
	if !utf8.Valid(body) {
		return "", result.New(result.BadAdminRequest, "the document is not UTF-8")
	}
	return string(body), nil
}

// operatorName returns the author's name from OperatorHeader, or the client's
// address if there is none. Non-printable characters are removed, since they
// could corrupt log lines or terminal output.
func operatorName(r *http.Request) string {
	name := strings.Map(func(c rune) rune {
		if unicode.IsPrint(c) {
			return c
		}
		return -1
	}, r.Header.Get(OperatorHeader))
	if len(name) > maxOperatorNameBytes {
		name = strings.ToValidUTF8(name[:maxOperatorNameBytes], "")
	}
	if name == "" {
		return r.RemoteAddr
	}
	return name
}

// etag returns the HTTP entity tag for a version.
func etag(version int64) string { return `"` + strconv.FormatInt(version, 10) + `"` }

// nonNil replaces a nil slice by an empty one, which is encoded as an empty JSON
// array.
func nonNil[T any](s []T) []T {
	if s == nil {
		return []T{}
	}
	return s
}
