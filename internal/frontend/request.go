package frontend

import (
	"github.com/topazrock/topazrock/internal/execution"
)

// request is one unit and what the session needs to handle its reply.
type request struct {
	unit *execution.Unit
	// sql is the SQL text from which the tag and the hints are read.
	sql string
	// batch is the batch of the unit; nil for a simple query.
	batch *batch
	// settings are the changes of session values by the unit, in order.
	settings []setting
	// otherEffects is set when the unit does more than change session values.
	otherEffects bool
}

// updateValues updates the session's values after a reply without an error. Changes
// within a transaction take effect when it commits.
func (s *session) updateValues(r *request, reply *execution.Reply) {
	if reply.Failed {
		r.settings = nil
	}
	s.pendingSettings = append(s.pendingSettings, r.settings...)
	if s.state.Transaction != "" || len(s.pendingSettings) == 0 {
		return
	}
	if !rolledBack(reply.Messages) {
		applySettings(&s.state, s.pendingSettings)
	}
	s.pendingSettings = nil
}
