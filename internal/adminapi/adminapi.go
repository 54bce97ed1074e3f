// Package adminapi serves the administration API: HTTP and JSON on an address
// of its own, the same on every instance.
//
// Reads are open to whoever reaches the address. Calls that change something
// need the access token of the settings; where none is configured they are
// taken from the loopback interface only. Errors are application/problem+json
// (RFC 9457) with the numbered codes of package result.
//
// The package depends on the instance's other parts through the small
// interfaces of parts.go and holds no state of its own.
package adminapi
