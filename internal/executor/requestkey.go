package executor

// requestKey is a request key and the owner of the connections on which its outcome is resolved;
// the owner is empty if connections are shared.
type requestKey struct{ name, owner string }
