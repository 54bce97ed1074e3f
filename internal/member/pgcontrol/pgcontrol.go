// Package pgcontrol implements member.Control over the PostgreSQL wire protocol.
// Each call is an SQL function that returns the member's status as one row.
//
// All calls share one connection and run one at a time. A call that does not
// receive a complete response closes the connection, because the next call must
// never read a late response to an earlier one.
package pgcontrol

// ApplicationName is the application_name of control connections.
const ApplicationName = "topazrock-control"

// StatusStatement queries the status row of a member; see ParseStatus.
const StatusStatement = "SELECT * FROM group_status()"

// Formats of the statements for the other calls.
const (
	waitPositionFormat = "SELECT * FROM group_wait_position(%d, %d)"
	enterTermFormat    = "SELECT * FROM group_enter_term(%d)"
	promoteFormat      = "SELECT * FROM group_promote(%d)"
	followFormat       = "SELECT * FROM group_follow(%d, '%s')"
)

const (
	// sqlStateTermPassed is the error code for a call with a lower term than the
	// member's.
	sqlStateTermPassed = "55G01"
	// sqlStateTooManyConnections is the error code at startup if the member has
	// reached its connection limit.
	sqlStateTooManyConnections = "53300"
)
