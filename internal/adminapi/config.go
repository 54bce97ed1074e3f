package adminapi

import "time"

// Config is what the settings say about the administration API.
type Config struct {
	// Address is the IP address and port to listen on.
	Address string
	// Token is the access token for changes; empty means loopback only.
	Token string
}

// Bounds of one call. A client that sends or reads slowly would otherwise hold
// a connection, and the memory of its body, for as long as it likes.
const (
	// MaxDocumentSize is the largest service document taken, in bytes. The
	// stored object also carries its history and must stay within the
	// platform's value size.
	MaxDocumentSize   = 256 << 10
	maxHeaderBytes    = 16 << 10
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 15 * time.Second
	writeTimeout      = 45 * time.Second
	idleTimeout       = 60 * time.Second
	// callTimeout bounds what a call waits for, and stays under writeTimeout so
	// that the answer still goes out.
	callTimeout = 30 * time.Second
	// stopTimeout bounds the wait for calls in flight when the server stops.
	stopTimeout = 5 * time.Second
	// maxOperatorLength bounds the author's name, in bytes.
	maxOperatorLength = 64
)
