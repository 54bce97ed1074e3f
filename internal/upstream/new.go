package upstream

import (
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// NewConn returns a Conn for an authenticated network connection to the member at address.
// frontend reads from and writes to conn.
func NewConn(address string, opened time.Time, conn net.Conn, frontend *pgproto3.Frontend) *Conn {
	return &Conn{
		address:       address,
		opened:        opened,
		netConn:       conn,
		frontend:      frontend,
		prepared:      make(map[string]struct{}),
		sessionValues: make(map[string]string),
	}
}
