package httpclient

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/topazrock/topazrock/internal/platform"
)

var (
	errAnswerTooLarge = errors.New("the answer is larger than the bound")
	errStatus         = errors.New("unexpected status")
	errNotModified    = errors.New("not modified")
)

// query is one GET.
type query struct {
	path string
	// wait is how long the platform may hold the call, besides the timeout.
	wait time.Duration
	// limit bounds the answer, in bytes.
	limit int64
	// tag is the entity tag of the answer that the caller has; empty for none.
	tag string
}

// read does a GET, decodes a 200 into into and returns the answer's entity tag.
// Every other end is errNotModified or an error of the platform package.
func (c *Client) read(ctx context.Context, q query, into any) (tag string, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+q.wait)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+q.path, nil)
	if err != nil {
		return "", unavailable(err)
	}
	if q.tag != "" {
		request.Header.Set("If-None-Match", q.tag)
	}
	response, err := c.http.Do(request)
	if err != nil {
		c.suspect(err)
		return "", unavailable(err)
	}
	defer response.Body.Close()
	if err := readStatus(response); err != nil {
		return "", err
	}
	if err := decode(response.Body, q.limit, into); err != nil {
		c.suspect(err)
		return "", unavailable(err)
	}
	return response.Header.Get("ETag"), nil
}

func readStatus(response *http.Response) error {
	switch response.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusNotModified:
		return errNotModified
	case http.StatusNotFound:
		return platform.ErrNotFound
	case http.StatusGone:
		return platform.ErrCompacted
	default:
		return unavailable(fmt.Errorf("%w %s", errStatus, response.Status))
	}
}

// suspect drops the idle connections after a call that ran out of time. A
// connection can go silent for good while new ones work; the call that timed
// out has closed its own, but others of that age would each cost one more
// timeout. Dropping them all makes the next call dial.
func (c *Client) suspect(err error) {
	if errors.Is(err, context.DeadlineExceeded) {
		c.transport.CloseIdleConnections()
	}
}

func unavailable(err error) error { return fmt.Errorf("%w: %w", platform.ErrUnavailable, err) }

// decode reads one JSON value of at most limit bytes.
func decode(body io.Reader, limit int64, into any) error {
	text, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return err
	}
	if int64(len(text)) > limit {
		return errAnswerTooLarge
	}
	return json.Unmarshal(text, into)
}
