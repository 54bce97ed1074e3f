package httpclient

import (
	"context"
	"fmt"
	"net/url"

	"github.com/topazrock/topazrock/internal/platform"
)

func objectPath(kind platform.Kind, name string) string {
	return fmt.Sprintf("/v1/objects/%s/%s", kind, url.PathEscape(name))
}

// Get implements platform.API.
func (c *Client) Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error) {
	var o platform.Object
	_, err := c.read(ctx, query{path: objectPath(kind, name), limit: maxObjectAnswer}, &o)
	return o, err
}

// Delete implements platform.API.
func (c *Client) Delete(context.Context, platform.Kind, string, int64) error {
	return platform.ErrUnavailable
}

// List implements platform.API.
func (c *Client) List(ctx context.Context, kind platform.Kind) ([]platform.Object, int64, error) {
	var a listAnswer
	_, err := c.read(ctx, query{path: fmt.Sprintf("/v1/objects/%s", kind), limit: maxListAnswer}, &a)
	return a.Objects, a.Revision, err
}

// ListStale implements platform.API.
func (c *Client) ListStale(ctx context.Context, kind platform.Kind) ([]platform.Object, int64, error) {
	return c.List(ctx, kind)
}

// Watch implements platform.API.
func (c *Client) Watch(ctx context.Context, kind platform.Kind, after int64) ([]platform.Object, int64, error) {
	var a listAnswer
	path := fmt.Sprintf("/v1/watch/%s?after=%d&wait_ms=%d", kind, after, watchWait.Milliseconds())
	_, err := c.read(ctx, query{path: path, wait: watchWait, limit: maxListAnswer}, &a)
	return a.Objects, a.Revision, err
}
