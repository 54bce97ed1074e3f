package httpclient

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"

	"github.com/topazrock/topazrock/internal/platform"
)

// ErrTooLarge says that a value is larger than the platform takes.
var ErrTooLarge = errors.New("platform: value too large")

// Put implements platform.API.
func (c *Client) Put(ctx context.Context, kind platform.Kind, name string, value []byte, ifVersion int64) (platform.Object, error) {
	var o platform.Object
	if len(value) > platform.MaxValueSize {
		return o, ErrTooLarge
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	// Once a connection was handed to the request, the platform may have taken
	// it, whatever comes back; before that, nothing can have left. net/http
	// repeats a PUT of its own only when it wrote nothing of it.
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, c.base+objectPath(kind, name), bytes.NewReader(value))
	if err != nil {
		return o, unavailable(err)
	}
	request.Header.Set("If-Match", strconv.Quote(strconv.FormatInt(ifVersion, 10)))
	response, err := c.http.Do(request)
	if err != nil {
		c.suspect(err)
		if !sent.Load() {
			return o, unavailable(err)
		}
		return o, outcomeUnknown(err)
	}
	defer response.Body.Close()
	return c.stored(response)
}

// stored reads the answer to a Put. Only the platform's own refusals say that
// nothing was stored.
func (c *Client) stored(response *http.Response) (platform.Object, error) {
	var o platform.Object
	switch response.StatusCode {
	case http.StatusOK:
		if err := decode(response.Body, maxObjectAnswer, &o); err != nil {
			c.suspect(err)
			return platform.Object{}, outcomeUnknown(err)
		}
		return o, nil
	case http.StatusConflict, http.StatusPreconditionFailed:
		return o, platform.ErrConflict
	case http.StatusRequestEntityTooLarge:
		return o, ErrTooLarge
	case http.StatusServiceUnavailable:
		return o, unavailable(fmt.Errorf("%w %s", errStatus, response.Status))
	default:
		return o, outcomeUnknown(fmt.Errorf("%w %s", errStatus, response.Status))
	}
}

func outcomeUnknown(err error) error { return fmt.Errorf("%w: %w", platform.ErrOutcomeUnknown, err) }
