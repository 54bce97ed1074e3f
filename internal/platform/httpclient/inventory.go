package httpclient

import (
	"context"
	"errors"
	"sync"

	"github.com/topazrock/topazrock/internal/platform"
)

// inventoryCache holds the last inventory with its entity tag.
type inventoryCache struct {
	mu        sync.Mutex
	tag       string
	inventory platform.Inventory
}

// Inventory implements platform.API. It is read each second and changes seldom;
// a platform that gives an entity tag is asked only whether it has changed.
func (c *Client) Inventory(ctx context.Context) (platform.Inventory, error) {
	c.cache.mu.Lock()
	tag, held := c.cache.tag, c.cache.inventory
	c.cache.mu.Unlock()
	var next platform.Inventory
	tag, err := c.read(ctx, query{path: "/v1/inventory", limit: maxListAnswer, tag: tag}, &next)
	if errors.Is(err, errNotModified) {
		return held, nil
	}
	if err != nil {
		return platform.Inventory{}, err
	}
	c.cache.mu.Lock()
	defer c.cache.mu.Unlock()
	c.cache.tag, c.cache.inventory = tag, next
	return next, nil
}
