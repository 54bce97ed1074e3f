// Package pgcontrol reaches the control side of a member over the PostgreSQL
// wire protocol: plain SQL functions that return one row of the member's status.
//
// Every call runs on one connection, one call at a time. A call that did not
// end with a whole answer closes the connection, because a late answer to it
// must never be taken for the answer to the next call.
package pgcontrol

// ApplicationName is the application_name of control connections.
const ApplicationName = "topazrock-control"

// StatusStatement asks a member for its status row; see ParseStatus.
const StatusStatement = "SELECT * FROM group_status()"

// Statements of the other calls.
const (
	waitFormat    = "SELECT * FROM group_wait_position(%d, %d)"
	enterFormat   = "SELECT * FROM group_enter_term(%d)"
	promoteFormat = "SELECT * FROM group_promote(%d)"
	followFormat  = "SELECT * FROM group_follow(%d, '%s')"
)

const (
	// sqlStateTermPassed is what a member answers to a call of a lower term.
	sqlStateTermPassed = "55G01"
	// sqlStateTooManyConnections is what a member that is full answers at startup.
	sqlStateTooManyConnections = "53300"
)
