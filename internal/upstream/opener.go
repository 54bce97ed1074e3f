package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/netio"
	"github.com/topazrock/topazrock/internal/wire"
)

// Opener opens authenticated connections to members.
type Opener struct {
	Dialer netio.Dialer
	Clock  clock.Clock
	// User, Password and Database are sent to the member in the startup handshake.
	User, Password, Database string
	// ApplicationName identifies the owner of the connection to the member's operators.
	ApplicationName string
}

// Open connects and authenticates. The error wraps wire.ErrRefused if the member itself
// refused the connection.
func (o *Opener) Open(ctx context.Context, address string) (wire.Conn, error) {
	config, err := o.connConfig(address)
	if err != nil {
		return nil, err
	}
	pg, err := pgconn.ConnectConfig(ctx, config)
	if err != nil {
		return nil, wrapRefusal(err)
	}
	h, err := pg.Hijack()
	if err != nil {
		return nil, err
	}
	c := NewConn(address, o.Clock.Now(), h.Conn, h.Frontend)
	c.cancelKey = CancelKey{ProcessID: h.PID, SecretKey: h.SecretKey}
	return c, nil
}

func (o *Opener) connConfig(address string) (*pgconn.Config, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	dsn := fmt.Sprintf("host=%s port=%s sslmode=disable", host, port)
	config, err := pgconn.ParseConfig(dsn)
	if err != nil {
		return nil, err
	}
	config.User = o.User
	config.Password = o.Password
	config.Database = o.Database
	config.RuntimeParams = map[string]string{"application_name": o.ApplicationName}
	config.Fallbacks = nil
	config.DialFunc = func(ctx context.Context, _, address string) (net.Conn, error) {
		return o.Dialer.Dial(ctx, address)
	}
	config.LookupFunc = func(_ context.Context, host string) ([]string, error) {
		return []string{host}, nil
	}
	return config, nil
}

// tooManyConnectionsCode is the SQLSTATE of a member that refuses a connection because it
// is at its limit.
const tooManyConnectionsCode = "53300"

// wrapRefusal wraps an error that the member itself returned in wire.ErrRefused or
// wire.ErrFull.
func wrapRefusal(err error) error {
	var pgErr *pgconn.PgError
	if !errors.As(err, &pgErr) {
		return err
	}
	if pgErr.Code == tooManyConnectionsCode {
		return fmt.Errorf("%w: %w", wire.ErrFull, err)
	}
	return fmt.Errorf("%w: %w", wire.ErrRefused, err)
}
