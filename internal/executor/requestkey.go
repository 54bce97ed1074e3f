package executor

// requestKey is a request's key and the workspace whose connections settle it.
type requestKey struct{ name, workspace string }
