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

// Problem is an error body as defined by RFC 9457, extended by the fields of a
// result code.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Code is the number of the result code, as listed in docs/RESULT-CODES.md.
	Code int `json:"code"`
	// RetryAfter is in seconds; zero if retrying does not help.
	RetryAfter int `json:"retry_after,omitempty"`
	// Errors lists the errors in a document.
	Errors []string `json:"errors,omitempty"`
	// Version and By are the current version of a document and its author,
	// after a version conflict.
	Version int64  `json:"version,omitempty"`
	By      string `json:"by,omitempty"`
}

// Error implements error, so that a client can return a Problem as an error.
func (p *Problem) Error() string {
	s := fmt.Sprintf("TZ%04d %s", p.Code, p.Title)
	if p.Detail != "" {
		s += ": " + p.Detail
	}
	return s
}

// httpStatuses maps result codes to HTTP statuses. Codes that are not listed map
// to 503 Service Unavailable.
var httpStatuses = map[result.Code]int{
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

// newProblem converts err to a Problem. An error without a code is reported as
// PlatformUnavailable, because errors without a code can only come from I/O with the
// platform.
func newProblem(err error) *Problem {
	resultErr, ok := result.As(err)
	var problems inifile.Problems
	if !ok && errors.As(err, &problems) {
		resultErr, ok = result.New(result.DocumentInvalid, "%d faults", len(problems)).WithCause(problems), true
	}
	if !ok {
		resultErr = result.New(result.PlatformUnavailable, "%v", err)
	}
	status, ok := httpStatuses[resultErr.Code]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	entry, _ := result.Lookup(resultErr.Code)
	p := &Problem{
		Type:       fmt.Sprintf("urn:topazrock:result:%d", resultErr.Code),
		Title:      entry.Name,
		Status:     status,
		Detail:     resultErr.Detail,
		Code:       int(resultErr.Code),
		RetryAfter: int(math.Ceil(resultErr.RetryAfter.Seconds())),
	}
	if resultErr.Code == result.DocumentInvalid {
		p.Errors = documentErrors(resultErr.Cause)
	}
	if p.Detail == "" && resultErr.Cause != nil && p.Errors == nil {
		p.Detail = resultErr.Cause.Error()
	}
	return p
}

// documentErrors lists the errors in a document, one text for each.
func documentErrors(err error) []string {
	var problems inifile.Problems
	if !errors.As(err, &problems) {
		return nil
	}
	var texts []string
	for _, problem := range problems {
		texts = append(texts, problem.String())
	}
	return texts
}

// writeProblem sends p as the response.
func writeProblem(w http.ResponseWriter, p *Problem) {
	w.Header().Set("Content-Type", problemType)
	if p.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(p.RetryAfter))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

// writeError sends err as a Problem.
func writeError(w http.ResponseWriter, err error) { writeProblem(w, newProblem(err)) }

// writeJSON sends a response with a status and a JSON body.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
