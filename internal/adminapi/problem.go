package adminapi

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"

	"github.com/topazrock/topazrock/internal/inifile"
	"github.com/topazrock/topazrock/internal/result"
)

// problemType is the media type of errors.
const problemType = "application/problem+json"

// Problem is an error body after RFC 9457 with the fields of a result code.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Code is the number of docs/RESULT-CODES.md.
	Code int `json:"code"`
	// RetryAfter is in seconds; zero when coming back does not help.
	RetryAfter int `json:"retry_after,omitempty"`
	// Errors lists the faults of a document, one text each.
	Errors []string `json:"errors,omitempty"`
	// Version and By tell which version of a document stands after a conflict.
	Version int64  `json:"version,omitempty"`
	By      string `json:"by,omitempty"`
}

// Error implements error, so that a client can hand a Problem on.
func (p *Problem) Error() string {
	s := fmt.Sprintf("TZ%04d %s", p.Code, p.Title)
	if p.Detail != "" {
		s += ": " + p.Detail
	}
	return s
}

// statusOf maps result codes to HTTP statuses; others are 503 Service Unavailable.
var statusOf = map[result.Code]int{
	result.DocumentInvalid:     http.StatusUnprocessableEntity,
	result.VersionConflict:     http.StatusPreconditionFailed,
	result.StillSettling:       http.StatusGatewayTimeout,
	result.DidNotTakeEffect:    http.StatusServiceUnavailable,
	result.PlatformUnavailable: http.StatusServiceUnavailable,
	result.NotFound:            http.StatusNotFound,
	result.AccessDenied:        http.StatusForbidden,
	result.BadAdminRequest:     http.StatusBadRequest,
	result.StatementTooLarge:   http.StatusRequestEntityTooLarge,
	result.UnknownGroup:        http.StatusNotFound,
}

// newProblem describes err. An error without a code comes from the only I/O
// that the API does, which is to the platform.
func newProblem(err error) *Problem {
	e, ok := result.As(err)
	var faulty inifile.Problems
	if !ok && errors.As(err, &faulty) {
		e, ok = result.New(result.DocumentInvalid, "%d faults", len(faulty)).WithCause(faulty), true
	}
	if !ok {
		e = result.New(result.PlatformUnavailable, "%v", err)
	}
	status, ok := statusOf[e.Code]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	entry, _ := result.Lookup(e.Code)
	p := &Problem{
		Type:       fmt.Sprintf("urn:topazrock:result:%d", e.Code),
		Title:      entry.Name,
		Status:     status,
		Detail:     e.Detail,
		Code:       int(e.Code),
		RetryAfter: int(math.Ceil(e.RetryAfter.Seconds())),
	}
	if e.Code == result.DocumentInvalid {
		p.Errors = faults(e.Cause)
	}
	if p.Detail == "" && e.Cause != nil && p.Errors == nil {
		p.Detail = e.Cause.Error()
	}
	return p
}

// faults lists the faults of a document, one text each.
func faults(err error) []string {
	var faulty inifile.Problems
	if !errors.As(err, &faulty) {
		return nil
	}
	var texts []string
	for _, f := range faulty {
		texts = append(texts, f.String())
	}
	return texts
}

// writeProblem answers with p.
func writeProblem(w http.ResponseWriter, p *Problem) {
	w.Header().Set("Content-Type", problemType)
	if p.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(p.RetryAfter))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

// writeError answers with the problem that describes err.
func writeError(w http.ResponseWriter, err error) { writeProblem(w, newProblem(err)) }

// writeJSON answers with a status and a body.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
