package peer

import (
	"io"
	"log"

	"github.com/sourcegraph/jsonrpc2"
)

// discardLog keeps the library from writing "protocol error" to the process's log
// whenever a peer's connection breaks. The calls in flight return the error, and their
// callers log its consequences.
var discardLog = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))
