package upstream

import (
	"maps"
	"slices"
	"strings"

	"github.com/topazrock/topazrock/internal/execution"
)

// applySessionValues sets exactly the unit's session values on the connection. If they
// differ from those that are set, this takes a separate round trip: if the unit were
// pipelined after it and the member rejected a value, the unit would run without that
// value. It returns false if the member rejected a value; that error is then the unit's
// response, and nothing of the unit was sent.
func (x *exchange) applySessionValues(u *execution.Unit) (bool, error) {
	// A unit that the instance itself starts has no ID and does not depend on session
	// values.
	if u.ID == "" {
		return true, nil
	}
	sql := x.conn.buildSetStatements(u.Values)
	if sql == "" {
		return true, nil
	}
	x.conn.expectsParameterChanges = true
	if err := x.runParts([]part{queryPart(partSessionValues, sql)}); err != nil {
		return false, err
	}
	if x.response.failure != nil {
		x.conn.MarkUnusable()
		x.outcome.Messages, x.outcome.Failure = x.response.messages, failureOf(x.response.failure)
		return false, nil
	}
	x.conn.replaceSessionValues(u.Values)
	return true, nil
}

// buildSetStatements returns the SET and RESET statements that change the connection's
// session values to the given ones; empty when nothing differs.
func (c *Conn) buildSetStatements(values []execution.SessionValue) string {
	var statements []string
	wanted := make(map[string]struct{}, len(values))
	for _, v := range values {
		wanted[v.Name] = struct{}{}
		if current, ok := c.sessionValues[v.Name]; !ok || current != v.Value {
			statements = append(statements, "SET "+v.Name+" = "+v.Value)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.sessionValues)) {
		if _, ok := wanted[name]; !ok {
			statements = append(statements, "RESET "+name)
		}
	}
	return strings.Join(statements, "; ")
}

func (c *Conn) replaceSessionValues(values []execution.SessionValue) {
	clear(c.sessionValues)
	for _, v := range values {
		c.sessionValues[v.Name] = v.Value
	}
}

// recordSessionValues records the session values after a unit that sets some. If the unit
// failed, it is unknown which of its statements took effect, so the connection is not
// reused.
func (c *Conn) recordSessionValues(u *execution.Unit, r *response) {
	if !u.OnlySetsValues {
		return
	}
	if r.failure != nil {
		c.MarkUnusable()
		return
	}
	c.replaceSessionValues(u.NextValues)
}
