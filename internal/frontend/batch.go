package frontend

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/result"
)

// maxStatements is the maximum number of prepared statements of one session.
const maxStatements = 512

// statement is a prepared statement of the session.
type statement struct {
	execution.Statement
	// memberName is the statement's name on connections to members. It is derived from
	// the statement's content, so that sessions with the same statement share it.
	memberName string
}

func newStatement(p *pgproto3.Parse) *statement {
	s := &statement{Statement: execution.Statement{SQL: p.Query, ParameterOIDs: p.ParameterOIDs}}
	h := xxhash.New()
	_, _ = h.WriteString(p.Query)
	_, _ = fmt.Fprint(h, p.ParameterOIDs)
	s.memberName = fmt.Sprintf("tz_%016x_%d", h.Sum64(), len(p.Query))
	return s
}

// batch collects extended-protocol messages up to their Sync.
type batch struct {
	session    *session
	messages   []byte
	shape      []byte
	statements map[string]execution.Statement
	unnamed    *execution.Statement
	// definedUnnamed is set when the batch itself defines the unnamed statement.
	definedUnnamed bool
	// definedNames are the named statements that the batch has defined.
	definedNames []string
	sql          string
	// settings are the changes of session values by the batch, in order. otherEffects is
	// set when the batch does more than change session values.
	settings     []setting
	otherEffects bool
	// failure is the error with which the whole batch is rejected, up to its Sync.
	failure error
	// errorReported is set when the failure, or an error of the member, was sent to the
	// caller before the Sync.
	errorReported bool
}

func (b *batch) isEmpty() bool { return len(b.shape) == 0 && b.failure == nil }

// addMessage adds one message. If the message is rejected, the batch fails at its
// Sync, as the protocol requires.
func (b *batch) addMessage(f frame, limit int) {
	if b.failure != nil || b.errorReported {
		return
	}
	if len(b.messages)+len(f.bytes) > limit {
		b.failure = result.New(result.StatementTooLarge, "more than %d bytes before Sync", limit)
		return
	}
	switch f.kind {
	case 'P':
		b.addParse(f)
	case 'B':
		b.addBind(f)
	case 'D':
		b.addDescribe(f)
	case 'E':
		b.addExecute(f)
	case 'C':
		b.addClose(f)
	default:
		b.failure = result.New(result.NotSupported, "message %q", f.kind)
	}
}

func (b *batch) appendFrame(f frame, step execution.Step) {
	b.messages = append(b.messages, f.bytes...)
	b.shape = append(b.shape, step)
}

func (b *batch) addParse(f frame) {
	var p pgproto3.Parse
	if err := p.Decode(f.body()); err != nil {
		b.failMalformed(err)
		return
	}
	b.recordSQL(p.Query)
	s := newStatement(&p)
	if p.Name == "" {
		b.session.unnamed = s
		b.definedUnnamed = true
		b.appendFrame(f, execution.StepParse)
		return
	}
	if len(b.session.statements) >= maxStatements {
		b.failure = result.New(result.NotSupported, "more than %d prepared statements", maxStatements)
		return
	}
	b.session.defineStatement(p.Name, s)
	b.definedNames = append(b.definedNames, p.Name)
	b.addStatement(s)
	b.shape = append(b.shape, execution.StepSyntheticParse)
}

// recordSQL keeps the first SQL text of the batch, whose tag and hints apply to the batch.
func (b *batch) recordSQL(sql string) {
	if b.sql == "" {
		b.sql = sql
	}
}

func (b *batch) addStatement(s *statement) {
	if b.statements == nil {
		b.statements = make(map[string]execution.Statement)
	}
	b.statements[s.memberName] = s.Statement
}

// resolveName returns the name of a statement on connections to members. A name that
// the session has not defined is sent unchanged, and the member rejects it.
func (b *batch) resolveName(name string) string {
	if name == "" {
		b.includeUnnamed()
		return ""
	}
	s := b.session.statements[name]
	if s == nil {
		return name
	}
	b.recordSQL(s.SQL)
	b.addStatement(s)
	return s.memberName
}

func (b *batch) includeUnnamed() {
	s := b.session.unnamed
	if s == nil || b.definedUnnamed {
		return
	}
	b.recordSQL(s.SQL)
	b.unnamed = &s.Statement
}

func (b *batch) addBind(f frame) {
	var m pgproto3.Bind
	if err := m.Decode(f.body()); err != nil {
		b.failMalformed(err)
		return
	}
	b.recordSettings(m.PreparedStatement)
	m.PreparedStatement = b.resolveName(m.PreparedStatement)
	b.encodeAndAppend(&m, execution.StepBind)
}

// recordSettings records how a statement that is about to run changes the session's
// values.
func (b *batch) recordSettings(name string) {
	s := b.session.statements[name]
	if name == "" {
		s = b.session.unnamed
	}
	if s == nil {
		b.otherEffects = true
		return
	}
	changes, isSettings, err := parseSettings(s.SQL)
	if err != nil {
		b.failure = err
	}
	b.settings = append(b.settings, changes...)
	b.otherEffects = b.otherEffects || !isSettings
}

func (b *batch) addDescribe(f frame) {
	var m pgproto3.Describe
	if err := m.Decode(f.body()); err != nil {
		b.failMalformed(err)
		return
	}
	if m.ObjectType == 'S' {
		m.Name = b.resolveName(m.Name)
	}
	b.encodeAndAppend(&m, execution.StepDescribe)
}

// addExecute decodes the message only to validate it; the message is sent unchanged. A
// member that cannot decode it may close the connection, and the caller would get
// "outcome unknown" although nothing has run.
func (b *batch) addExecute(f frame) {
	var m pgproto3.Execute
	if err := m.Decode(f.body()); err != nil {
		b.failMalformed(err)
		return
	}
	b.appendFrame(f, execution.StepExecute)
}

func (b *batch) addClose(f frame) {
	var m pgproto3.Close
	if err := m.Decode(f.body()); err != nil {
		b.failMalformed(err)
		return
	}
	if m.ObjectType != 'S' || m.Name == "" {
		b.appendFrame(f, execution.StepClose)
		return
	}
	delete(b.session.statements, m.Name)
	b.shape = append(b.shape, execution.StepSyntheticClose)
}

func (b *batch) encodeAndAppend(m pgproto3.FrontendMessage, step execution.Step) {
	bytes, err := m.Encode(b.messages)
	if err != nil {
		b.failMalformed(err)
		return
	}
	b.messages = bytes
	b.shape = append(b.shape, step)
}

func (b *batch) failMalformed(err error) {
	b.failure = result.New(result.ProtocolViolation, "malformed message").WithCause(err)
}

// isLocal reports whether the instance can reply to the whole batch itself: all its
// steps are synthetic, and no statement needs to be checked by a member.
func (b *batch) isLocal() bool { return len(b.messages) == 0 && len(b.statements) == 0 }
