package pgcontrol

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/topazrock/topazrock/internal/member"
	"github.com/topazrock/topazrock/internal/netio"
)

// maxMessageLength is the maximum length of a message from a member, in bytes.
// A status row is much shorter.
const maxMessageLength = 64 << 10

// baseConnString sets every connection parameter that pgconn would otherwise
// read from the environment or the home directory. Dialer.connConfig replaces
// the values that are used.
const baseConnString = "host=127.0.0.1 port=5432 user=control password=none dbname=postgres sslmode=disable"

// Options are the settings of control connections.
type Options struct {
	User     string
	Password string
	// Database is the database name sent at startup; it may be empty.
	Database string
}

// Dialer implements member.Dialer.
//
// At most maxHandshakes handshakes with each member are in progress at a time.
//
// Locking: no other lock is acquired while mu is held, and mu is not held during I/O.
type Dialer struct {
	network netio.Dialer
	options Options

	mu      sync.Mutex
	pending map[string]*pendingHandshakes
}

// NewDialer returns a Dialer that opens its connections with network.
func NewDialer(network netio.Dialer, options Options) *Dialer {
	return &Dialer{network: network, options: options, pending: make(map[string]*pendingHandshakes)}
}

// DialControl implements member.Dialer. The address is an IP and a port.
func (d *Dialer) DialControl(ctx context.Context, address string) (member.Control, error) {
	pending := d.addWaiter(address)
	defer d.removeWaiter(address, pending)
	for {
		h, err := d.currentHandshake(address, pending)
		if err != nil {
			return nil, err
		}
		select {
		case c := <-pending.ready:
			return c, nil
		case <-ctx.Done():
			return nil, connectError(address, ctx.Err())
		case <-h.done:
			if h.err != nil {
				return nil, connectError(address, h.err)
			}
			// The connection is in ready, or another call has received it.
		}
		select {
		case c := <-pending.ready:
			return c, nil
		default:
		}
	}
}

// connConfig returns the pgconn configuration for one address.
func (d *Dialer) connConfig(address string) (*pgconn.Config, error) {
	host, portText, err := net.SplitHostPort(address)
	if err != nil {
		return nil, fmt.Errorf("pgcontrol: invalid address %q: %w", address, err)
	}
	port, err := strconv.ParseUint(portText, 10, 16)
	if err != nil {
		return nil, fmt.Errorf("pgcontrol: invalid port in address %q: %w", address, err)
	}
	cfg, err := pgconn.ParseConfig(baseConnString)
	if err != nil {
		return nil, fmt.Errorf("pgcontrol: parse connection parameters: %w", err)
	}
	cfg.Host, cfg.Port = host, uint16(port)
	cfg.User, cfg.Password, cfg.Database = d.options.User, d.options.Password, d.options.Database
	cfg.Fallbacks = nil
	cfg.ConnectTimeout = 0
	cfg.RuntimeParams = map[string]string{"application_name": ApplicationName}
	cfg.MaxProtocolMessageBodyLen = maxMessageLength
	cfg.LookupFunc = func(_ context.Context, host string) ([]string, error) { return []string{host}, nil }
	return cfg, nil
}

// connectError returns ErrTooManyConnections if the member has reached its connection limit,
// so that it is not mistaken for a member that does not respond.
func connectError(address string, err error) error {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) && pgErr.Code == sqlStateTooManyConnections {
		return fmt.Errorf("%w: %s", member.ErrTooManyConnections, address)
	}
	return fmt.Errorf("pgcontrol: connect to %s: %w", address, err)
}
