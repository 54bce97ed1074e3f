package executor

// requestKey is a request's key and the owner of the connections that settle it; empty where
// they are shared.
type requestKey struct{ name, owner string }
