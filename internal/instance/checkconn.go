package instance

import (
	"time"

	"github.com/topazrock/topazrock/internal/features"
	"github.com/topazrock/topazrock/internal/wire"
)

// checkConn reports whether an idle connection can be used. The deadline of the last statement is
// cleared before: once it has passed, the check fails as if the member had closed the connection, and
// a connection that was idle for about a second would be replaced by a new one.
func (n *Instance) checkConn(c wire.Conn) error {
	if n.features.Enabled(features.ConnectionCost) {
		if err := c.SetDeadline(time.Time{}); err != nil {
			return err
		}
	}
	return c.Check()
}
