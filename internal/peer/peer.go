// Package peer implements calls between instances: jsonrpc2 over one long-lived
// connection per pair of instances, with many concurrent calls.
package peer

import (
	"context"
	"encoding/json"
)

// Caller calls a method of another instance.
type Caller interface {
	// Call sends params to the instance with the given peer address and decodes its
	// response into reply. A lost connection fails every call in flight.
	Call(ctx context.Context, address, method string, params, reply any) error
}

// Handler handles one call. from is the instance ID that the calling instance gave for
// itself.
type Handler func(ctx context.Context, from string, params json.RawMessage) (any, error)

// HandlerRegistry accepts handlers from the components of an instance before it starts to serve.
type HandlerRegistry interface {
	Handle(method string, h Handler)
}
