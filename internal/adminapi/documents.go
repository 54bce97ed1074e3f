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

// OperatorHeader names the author of a change. The name is recorded, not
// proved: whoever holds the access token may set it.
const OperatorHeader = "Topazrock-Operator"

func (s *Server) listDocuments(w http.ResponseWriter, _ *http.Request) {
	if s.parts.Documents == nil {
		unavailable(w, "service documents")
		return
	}
	writeJSON(w, http.StatusOK, orEmpty(s.parts.Documents.List()))
}

func (s *Server) getDocument(w http.ResponseWriter, r *http.Request) {
	if s.parts.Documents == nil {
		unavailable(w, "service documents")
		return
	}
	d, err := s.parts.Documents.Get(r.Context(), r.PathValue("name"))
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", etag(d.Version))
	writeJSON(w, http.StatusOK, d)
}

func (s *Server) checkDocument(w http.ResponseWriter, r *http.Request) {
	if s.parts.Documents == nil {
		unavailable(w, "service documents")
		return
	}
	text, err := readText(w, r)
	if err == nil {
		err = s.parts.Documents.Check(r.PathValue("name"), text)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) applyDocument(w http.ResponseWriter, r *http.Request) {
	if s.parts.Documents == nil {
		unavailable(w, "service documents")
		return
	}
	version, err := ifVersion(r)
	if err != nil {
		writeError(w, err)
		return
	}
	text, err := readText(w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	name, by := r.PathValue("name"), operator(r)
	outcome, err := s.parts.Documents.Apply(r.Context(), name, text, version, by)
	if err != nil {
		writeError(w, applyError(err))
		return
	}
	s.log.Info("apply", "service", name, "by", by, "state", outcome.State, "version", outcome.Version)
	writeOutcome(w, outcome)
}

// applyError gives an error without a code the one that claims least: the
// change may have been stored before the error arose.
func applyError(err error) error {
	var faulty inifile.Problems
	if _, ok := result.As(err); ok || errors.As(err, &faulty) {
		return err
	}
	return result.New(result.StillSettling, "%v", err)
}

// writeOutcome answers an apply. Each state keeps its own code: a client that
// took "still settling" for "did not take effect" would apply twice.
func writeOutcome(w http.ResponseWriter, o Outcome) {
	var code result.Code
	switch o.State {
	case StateAccepted:
		w.Header().Set("ETag", etag(o.Version))
		writeJSON(w, http.StatusOK, o)
		return
	case StateNotAccepted:
		code = result.VersionConflict
	case StateNoEffect:
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
	if s.parts.Documents == nil {
		unavailable(w, "service documents")
		return
	}
	changes, err := s.parts.Documents.History(r.Context(), r.PathValue("name"))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, orEmpty(changes))
}

func (s *Server) documentVersions(w http.ResponseWriter, r *http.Request) {
	if s.parts.Fleet == nil {
		unavailable(w, "versions of other instances")
		return
	}
	versions, err := s.parts.Fleet.InForce(r.Context(), r.PathValue("name"))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, orEmpty(versions))
}

// ifVersion reads the version that the document was edited from: If-Match, or
// If-None-Match: * for a document that does not exist yet.
func ifVersion(r *http.Request) (int64, error) {
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

// readText reads a document from the body, within MaxDocumentSize.
func readText(w http.ResponseWriter, r *http.Request) (string, error) {
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

// operator returns the author's name as sent, or the address that called.
// Characters that could break a log line or a terminal are dropped.
func operator(r *http.Request) string {
	name := strings.Map(func(c rune) rune {
		if unicode.IsPrint(c) {
			return c
		}
		return -1
	}, r.Header.Get(OperatorHeader))
	if len(name) > maxOperatorLength {
		name = strings.ToValidUTF8(name[:maxOperatorLength], "")
	}
	if name == "" {
		return r.RemoteAddr
	}
	return name
}

// etag returns the entity tag of a version.
func etag(version int64) string { return `"` + strconv.FormatInt(version, 10) + `"` }

// orEmpty makes a nil slice an empty JSON array.
func orEmpty[T any](s []T) []T {
	if s == nil {
		return []T{}
	}
	return s
}
