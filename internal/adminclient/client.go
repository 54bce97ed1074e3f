// Package adminclient calls the administration API of one instance.
package adminclient

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/topazrock/topazrock/internal/adminapi"
	"github.com/topazrock/topazrock/internal/result"
)

// maxAnswer bounds an answer, in bytes: the versions of 7,400 instances take
// about 1 MB.
const maxAnswer = 16 << 20

// ErrUnreachable says that no connection to the API could be opened, so the
// call did not reach the instance.
var ErrUnreachable = errors.New("the administration API cannot be reached")

// ErrNoAnswer says that the call was sent and its answer is lost.
var ErrNoAnswer = errors.New("the administration API did not answer")

// Client calls one instance. Errors are *adminapi.Problem, ErrUnreachable or
// ErrNoAnswer.
type Client struct {
	base     string
	token    string
	operator string
	http     *http.Client
}

// New returns a client for an address of host and port. token may be empty;
// operator is the author that the history shows.
func New(address, token, operator string) *Client {
	return &Client{base: "http://" + address, token: token, operator: operator, http: &http.Client{}}
}

// List returns the documents that the instance has in force.
func (c *Client) List(ctx context.Context) ([]adminapi.DocumentInfo, error) {
	var out []adminapi.DocumentInfo
	return out, c.get(ctx, "/v1/services", &out)
}

// Get returns the newest version of a document.
func (c *Client) Get(ctx context.Context, name string) (adminapi.Document, error) {
	var out adminapi.Document
	return out, c.get(ctx, servicePath(name, ""), &out)
}

// History returns the changes of a document, the newest first.
func (c *Client) History(ctx context.Context, name string) ([]adminapi.Change, error) {
	var out []adminapi.Change
	return out, c.get(ctx, servicePath(name, "/history"), &out)
}

// InForce returns what version each listed instance has in force.
func (c *Client) InForce(ctx context.Context, name string) ([]adminapi.InstanceVersion, error) {
	var out []adminapi.InstanceVersion
	return out, c.get(ctx, servicePath(name, "/versions"), &out)
}

// Status returns what an operator asks for first.
func (c *Client) Status(ctx context.Context) (adminapi.StatusView, error) {
	var out adminapi.StatusView
	return out, c.get(ctx, "/v1/status", &out)
}

// Drain begins the graceful shutdown of the instance.
func (c *Client) Drain(ctx context.Context) (adminapi.DrainView, error) {
	var out adminapi.DrainView
	return out, c.call(ctx, http.MethodPost, "/v1/drain", nil, "", &out)
}

// Check checks a document at the instance without storing it.
func (c *Client) Check(ctx context.Context, name, text string) error {
	return c.call(ctx, http.MethodPost, servicePath(name, "/check"), nil, text, nil)
}

// Apply stores a document that was edited from ifVersion; zero for a new one.
func (c *Client) Apply(ctx context.Context, name, text string, ifVersion int64) (adminapi.Outcome, error) {
	header := http.Header{"If-Match": {strconv.Quote(strconv.FormatInt(ifVersion, 10))}}
	if ifVersion == 0 {
		header = http.Header{"If-None-Match": {"*"}}
	}
	var out adminapi.Outcome
	return out, c.call(ctx, http.MethodPut, servicePath(name, ""), header, text, &out)
}

// servicePath returns the path of a document's resource.
func servicePath(name, rest string) string { return "/v1/services/" + url.PathEscape(name) + rest }

func (c *Client) get(ctx context.Context, path string, out any) error {
	return c.call(ctx, http.MethodGet, path, nil, "", out)
}

// call sends one request and decodes its answer into out, which may be nil.
func (c *Client) call(ctx context.Context, method, path string, header http.Header, body string, out any) error {
	r, err := http.NewRequestWithContext(ctx, method, c.base+path, strings.NewReader(body))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	for name, values := range header {
		r.Header[name] = values
	}
	r.Header.Set("Content-Type", "text/plain; charset=utf-8")
	r.Header.Set(adminapi.OperatorHeader, c.operator)
	if c.token != "" {
		r.Header.Set("Authorization", "Bearer "+c.token)
	}
	answer, err := c.http.Do(r)
	if err != nil {
		return sendError(err)
	}
	defer answer.Body.Close()
	return decode(answer, out)
}

// sendError tells a call that never left from one whose answer is lost: only
// a failed dial proves that the instance did not see the request.
func sendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrUnreachable, op)
	}
	return fmt.Errorf("%w: %w", ErrNoAnswer, err)
}

// decode reads a body into out, or into the Problem that it returns.
func decode(answer *http.Response, out any) error {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	if answer.StatusCode >= http.StatusBadRequest {
		return decodeProblem(answer.StatusCode, body)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	return nil
}

// decodeProblem returns the Problem of an error body. A body that is none, as
// from something between client and instance, proves nothing.
func decodeProblem(status int, body []byte) error {
	var p adminapi.Problem
	if err := json.Unmarshal(body, &p); err != nil || p.Code == 0 {
		return fmt.Errorf("%w: status %d without a result code", ErrNoAnswer, status)
	}
	return &p
}

// CodeOf returns the result code of an error of Client, or zero.
func CodeOf(err error) result.Code {
	var p *adminapi.Problem
	if errors.As(err, &p) {
		return result.Code(p.Code)
	}
	return 0
}
