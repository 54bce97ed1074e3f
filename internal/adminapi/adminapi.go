// Package adminapi serves the administration API: JSON over HTTP on a dedicated
// address. Every instance serves the same API.
//
// Read requests need no authentication. Requests that change something need the
// access token from the settings; if none is configured, they are accepted from
// the loopback interface only. Errors are application/problem+json (RFC 9457)
// with the numbered codes of package result.
//
// The package accesses the rest of the instance through the small interfaces in
// dependencies.go and holds no state of its own.
package adminapi
