// Package peer carries calls between instances: jsonrpc2 over one long-lived
// connection for each pair of instances, many calls at a time.
package peer

import (
	"context"
	"encoding/json"
)

// Caller calls a method of another instance.
type Caller interface {
	// Call sends params to the instance whose peer address is given and decodes
	// its answer into reply. A lost connection fails every call in flight.
	Call(ctx context.Context, address, method string, params, reply any) error
}

// Handler answers one call. from is the caller's instance ID as it named itself.
type Handler func(ctx context.Context, from string, params json.RawMessage) (any, error)

// Registry takes the handlers of the instance's parts before it serves.
type Registry interface {
	Handle(method string, h Handler)
}
