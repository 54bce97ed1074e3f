package upstream

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/topazrock/topazrock/internal/netio"
)

// CancelKey identifies a backend process in a cancel request to its member.
type CancelKey struct {
	ProcessID uint32
	SecretKey []byte
}

// Cancel asks the member, on a new connection, to cancel what c is running. It does not
// wait for the effect; the response arrives on c.
func (c *Conn) Cancel(ctx context.Context, d netio.Dialer) error {
	conn, err := d.Dial(ctx, c.address)
	if err != nil {
		return err
	}
	defer conn.Close()
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline)
	}
	request := pgproto3.CancelRequest{ProcessID: c.cancelKey.ProcessID, SecretKey: c.cancelKey.SecretKey}
	bytes, err := request.Encode(nil)
	if err != nil {
		return err
	}
	_, err = conn.Write(bytes)
	return err
}
