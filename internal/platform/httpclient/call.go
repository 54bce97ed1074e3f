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
)

// read does a GET and decodes a 200 into into. Every other end is an error of
// the platform package.
func (c *Client) read(ctx context.Context, path string, wait time.Duration, limit int64, into any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return unavailable(err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		c.suspect(err)
		return unavailable(err)
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return platform.ErrNotFound
	case http.StatusGone:
		return platform.ErrCompacted
	default:
		return unavailable(fmt.Errorf("%w %s", errStatus, response.Status))
	}
	if err := decode(response.Body, limit, into); err != nil {
		c.suspect(err)
		return unavailable(err)
	}
	return nil
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
