package upstream

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/topazrock/topazrock/internal/execution"
)

// response collects the member's messages for one unit. They are held back until the
// whole exchange has been answered, because an error of another part may replace them.
// Only when rows exceed flushThreshold are they sent in pieces.
type response struct {
	messages []byte
	// remainingSteps holds the steps whose responses are outstanding, one byte for each:
	// its execution.Step.
	remainingSteps string
	flushThreshold int
	sendPartial    func([]byte) error
	// streamed reports that a piece was sent already.
	streamed bool
	// completed counts statements that succeeded.
	completed int
	failure   *pgproto3.ErrorResponse
	// setsValues reports that the unit only changes session values, which then stay set on
	// the connection.
	setsValues bool
	// leavesState reports that a statement may have left session state on the connection.
	leavesState bool
	txStatus    byte
}

// addMessage processes one message of the member's response to the unit.
func (r *response) addMessage(m pgproto3.BackendMessage) error {
	r.addSynthetic()
	switch m := m.(type) {
	case *pgproto3.ReadyForQuery:
		r.txStatus = m.TxStatus
		return nil
	case *pgproto3.NotificationResponse:
		return nil
	case *pgproto3.ParameterStatus:
		if r.setsValues {
			r.appendMessage(m)
		}
		return nil
	case *pgproto3.ErrorResponse:
		e := *m
		r.failure = &e
		r.remainingSteps = ""
	case *pgproto3.CommandComplete:
		r.completed++
		if !isStatelessTag(string(m.CommandTag)) && !(r.setsValues && isSettingTag(string(m.CommandTag))) {
			r.leavesState = true
		}
	}
	r.appendMessage(m)
	r.completeStep(m)
	if _, ok := m.(*pgproto3.DataRow); ok {
		return r.flushOverThreshold()
	}
	return nil
}

func (r *response) appendMessage(m pgproto3.BackendMessage) {
	b, err := m.Encode(r.messages)
	if err == nil {
		r.messages = b
	}
}

// addSynthetic adds the responses of steps that were never sent to the member, when they
// are next in order.
func (r *response) addSynthetic() {
	for r.remainingSteps != "" {
		switch r.remainingSteps[0] {
		case execution.StepSyntheticParse:
			r.appendMessage(&pgproto3.ParseComplete{})
		case execution.StepSyntheticClose:
			r.appendMessage(&pgproto3.CloseComplete{})
		default:
			return
		}
		r.remainingSteps = r.remainingSteps[1:]
	}
}

// completeStep removes the first remaining step if m ends its response.
func (r *response) completeStep(m pgproto3.BackendMessage) {
	if r.remainingSteps == "" || !isStepEnd(m) {
		return
	}
	r.remainingSteps = r.remainingSteps[1:]
}

func isStepEnd(m pgproto3.BackendMessage) bool {
	switch m.(type) {
	case *pgproto3.ParseComplete, *pgproto3.BindComplete, *pgproto3.CloseComplete,
		*pgproto3.RowDescription, *pgproto3.NoData,
		*pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		return true
	}
	return false
}

func (r *response) flushOverThreshold() error {
	if len(r.messages) < r.flushThreshold {
		return nil
	}
	r.streamed = true
	err := r.sendPartial(r.messages)
	r.messages = r.messages[:0]
	return err
}

// replaceWithError replaces the collected messages with an error of the member.
func (r *response) replaceWithError(e *pgproto3.ErrorResponse) {
	r.failure = e
	r.messages = r.messages[:0]
	r.appendMessage(e)
}

// statelessTags are the first words of the command tags of statements that leave no session
// state on the connection.
var statelessTags = map[string]bool{
	"SELECT": true, "INSERT": true, "UPDATE": true, "DELETE": true, "MERGE": true,
	"BEGIN": true, "START": true, "COMMIT": true, "ROLLBACK": true,
	"SAVEPOINT": true, "RELEASE": true, "SHOW": true, "VALUES": true,
	"COPY": true, "TRUNCATE": true, "CALL": true, "EXPLAIN": true,
}

// isSettingTag reports whether a statement changed session values and nothing else.
func isSettingTag(tag string) bool { return tag == "SET" || tag == "RESET" }

func isStatelessTag(tag string) bool {
	word, _, _ := strings.Cut(tag, " ")
	return statelessTags[word]
}
