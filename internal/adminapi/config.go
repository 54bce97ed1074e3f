package adminapi

import "time"

// Config holds the settings of the administration API.
type Config struct {
	// Address is the IP address and port to listen on.
	Address string
	// Token is the access token for changes. If it is empty, changes are
	// accepted from the loopback interface only.
	Token string
}

// Limits of one request. Without them, a client that sends or reads slowly could
// occupy a connection, and the memory of its body, indefinitely.
const (
	// MaxDocumentSize is the maximum size of a service document, in bytes. The
	// stored object also contains the document's history and must fit into the
	// platform's maximum value size.
	MaxDocumentSize   = 256 << 10
	maxHeaderBytes    = 16 << 10
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 15 * time.Second
	writeTimeout      = 45 * time.Second
	idleTimeout       = 60 * time.Second
	// requestTimeout limits the handling of a request. It is shorter than
	// writeTimeout so that the response can still be sent.
	requestTimeout = 30 * time.Second
	// shutdownTimeout limits the wait for running requests when the server stops.
	shutdownTimeout = 5 * time.Second
	// maxOperatorNameBytes limits the length of the author's name.
	maxOperatorNameBytes = 64
)
