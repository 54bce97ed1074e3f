package upstream

import "github.com/jackc/pgx/v5/pgproto3"

// Send writes encoded messages to which the member responds with readyCount ReadyForQuery
// messages. After an error the connection is unusable: part of the bytes may have been
// sent.
func (c *Conn) Send(messages []byte, readyCount int) error {
	c.pendingReady += readyCount
	if _, err := c.netConn.Write(messages); err != nil {
		c.unusable = true
		return err
	}
	return nil
}

// Receive reads one message, which is valid until the next call. After an error the
// connection is unusable.
func (c *Conn) Receive() (pgproto3.BackendMessage, error) {
	m, err := c.frontend.Receive()
	if err != nil {
		c.unusable = true
		return nil, err
	}
	switch m.(type) {
	case *pgproto3.ReadyForQuery:
		c.pendingReady--
	case *pgproto3.ParameterStatus:
		// A changed parameter is session state that the next unit would inherit.
		c.unusable = c.unusable || !c.expectsParameterChanges
	}
	return m, nil
}
