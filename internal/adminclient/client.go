// Package adminclient is a client for the administration API of one instance.
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

// maxResponseBytes limits the size of a response. The versions of 7,400 instances
// take about 1 MB.
const maxResponseBytes = 16 << 20

// ErrUnreachable is returned if no connection to the API could be opened, so the
// request did not reach the instance.
var ErrUnreachable = errors.New("the administration API cannot be reached")

// ErrNoResponse is returned if the request may have been sent but no valid
// response was received.
var ErrNoResponse = errors.New("the administration API did not answer")

// Client calls the API of one instance. Its errors are *adminapi.Problem or wrap
// ErrUnreachable or ErrNoResponse.
type Client struct {
	baseURL  string
	token    string
	operator string
	http     *http.Client
}

// New returns a client for an address in the form host:port. token may be empty;
// operator is recorded in the history as the author of changes.
func New(address, token, operator string) *Client {
	return &Client{baseURL: "http://" + address, token: token, operator: operator, http: &http.Client{}}
}

// List returns the documents that the instance has in force.
func (c *Client) List(ctx context.Context) ([]adminapi.DocumentInfo, error) {
	var out []adminapi.DocumentInfo
	return out, c.getJSON(ctx, "/v1/services", &out)
}

// Get returns the latest version of a document.
func (c *Client) Get(ctx context.Context, name string) (adminapi.Document, error) {
	var out adminapi.Document
	return out, c.getJSON(ctx, servicePath(name, ""), &out)
}

// History returns the changes of a document, newest first.
func (c *Client) History(ctx context.Context, name string) ([]adminapi.Change, error) {
	var out []adminapi.Change
	return out, c.getJSON(ctx, servicePath(name, "/history"), &out)
}

// VersionsInForce returns the version of a document that each live instance has
// in force.
func (c *Client) VersionsInForce(ctx context.Context, name string) ([]adminapi.InstanceVersion, error) {
	var out []adminapi.InstanceVersion
	return out, c.getJSON(ctx, servicePath(name, "/versions"), &out)
}

// Status returns an overview of the instance's state.
func (c *Client) Status(ctx context.Context) (adminapi.StatusView, error) {
	var out adminapi.StatusView
	return out, c.getJSON(ctx, "/v1/status", &out)
}

// Drain starts the graceful shutdown of the instance.
func (c *Client) Drain(ctx context.Context) (adminapi.DrainView, error) {
	var out adminapi.DrainView
	return out, c.sendRequest(ctx, http.MethodPost, "/v1/drain", nil, "", &out)
}

// Check validates a document at the instance without storing it.
func (c *Client) Check(ctx context.Context, name, text string) error {
	return c.sendRequest(ctx, http.MethodPost, servicePath(name, "/check"), nil, text, nil)
}

// Apply stores a document if its current version is ifVersion; zero for a
// document that does not exist yet.
func (c *Client) Apply(ctx context.Context, name, text string, ifVersion int64) (adminapi.Outcome, error) {
	header := http.Header{"If-Match": {strconv.Quote(strconv.FormatInt(ifVersion, 10))}}
	if ifVersion == 0 {
		header = http.Header{"If-None-Match": {"*"}}
	}
	var out adminapi.Outcome
	return out, c.sendRequest(ctx, http.MethodPut, servicePath(name, ""), header, text, &out)
}

// servicePath returns the URL path of a document, or of a resource below it.
func servicePath(name, suffix string) string { return "/v1/services/" + url.PathEscape(name) + suffix }

func (c *Client) getJSON(ctx context.Context, path string, out any) error {
	return c.sendRequest(ctx, http.MethodGet, path, nil, "", out)
}

// sendRequest sends one request and decodes the response into out, which may be nil.
func (c *Client) sendRequest(ctx context.Context, method, path string, header http.Header, body string, out any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, strings.NewReader(body))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("Content-Type", "text/plain; charset=utf-8")
	request.Header.Set(adminapi.OperatorHeader, c.operator)
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return wrapSendError(err)
	}
	defer response.Body.Close()
	return decodeResponse(response, out)
}

// wrapSendError distinguishes requests that were not sent from those whose
// response was lost: only a failed dial proves that the instance did not receive
// the request.
func wrapSendError(err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrUnreachable, opErr)
	}
	return fmt.Errorf("%w: %w", ErrNoResponse, err)
}

// decodeResponse decodes the body into out. An error response is returned as a
// Problem.
func decodeResponse(response *http.Response, out any) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return decodeProblem(response.StatusCode, body)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	return nil
}

// decodeProblem decodes an error body. If the body is no Problem, it may come from
// a proxy between client and instance, so the outcome of the request is unknown.
func decodeProblem(status int, body []byte) error {
	var p adminapi.Problem
	if err := json.Unmarshal(body, &p); err != nil || p.Code == 0 {
		return fmt.Errorf("%w: status %d without a result code", ErrNoResponse, status)
	}
	return &p
}

// ResultCode returns the result code of an error returned by Client; zero if it
// has none.
func ResultCode(err error) result.Code {
	var p *adminapi.Problem
	if errors.As(err, &p) {
		return result.Code(p.Code)
	}
	return 0
}
