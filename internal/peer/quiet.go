package peer

import (
	"io"
	"log"

	"github.com/sourcegraph/jsonrpc2"
)

// quiet keeps the library from writing "protocol error" to the process's log
// whenever a peer's connection breaks. The calls in flight get the error, and
// their callers log what it means to them.
var quiet = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))
