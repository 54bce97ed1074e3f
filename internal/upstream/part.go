package upstream

import (
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/member/pgcontrol"
	"github.com/topazrock/topazrock/internal/wire"
)

// Kinds of parts that an exchange sends in addition to its steps.
const (
	// partPrepare defines prepared statements.
	partPrepare wire.StepKind = -1
	// partSessionValues sets session values.
	partSessionValues wire.StepKind = -2
)

// part is a piece of an exchange that gets exactly one ReadyForQuery.
type part struct {
	kind  wire.StepKind
	bytes []byte
}

func queryPart(kind wire.StepKind, sql string) part {
	return part{kind: kind, bytes: mustEncode(&pgproto3.Query{String: sql})}
}

// encodeStep encodes one step.
func encodeStep(s wire.Step, u *execution.Unit) part {
	switch s.Kind {
	case wire.StepBegin:
		return queryPart(s.Kind, "BEGIN")
	case wire.StepStoreKey:
		return queryPart(s.Kind, storeKeySQL(s.Key, s.Outcome))
	case wire.StepFindKey:
		return queryPart(s.Kind, findKeySQL(s.Key))
	case wire.StepCommit:
		return queryPart(s.Kind, "COMMIT")
	case wire.StepRollback:
		return queryPart(s.Kind, "ROLLBACK")
	case wire.StepMemberStatus:
		return queryPart(s.Kind, pgcontrol.StatusStatement)
	default:
		return part{kind: wire.StepUnit, bytes: u.Messages}
	}
}

func storeKeySQL(key string, outcome wire.KeyOutcome) string {
	return fmt.Sprintf("INSERT INTO topazrock_request_keys (key, outcome) VALUES (%s, '%s')", quote(key), outcome)
}

func findKeySQL(key string) string {
	return fmt.Sprintf("SELECT outcome FROM topazrock_request_keys WHERE key = %s", quote(key))
}

// quote returns an SQL literal. Request keys that contain backslashes were rejected before,
// so doubling the quotes is enough.
func quote(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }

// preparePart returns the part that defines the statements missing on the connection, and
// their names. The last value is false when there is nothing to define.
func preparePart(c *Conn, u *execution.Unit) (part, []string, bool) {
	var bytes []byte
	var names []string
	for name, s := range u.Statements {
		if c.HasPrepared(name) {
			continue
		}
		p := pgproto3.Parse{Name: name, Query: s.SQL, ParameterOIDs: s.ParameterOIDs}
		bytes = append(bytes, mustEncode(&p)...)
		names = append(names, name)
	}
	if u.Unnamed != nil {
		p := pgproto3.Parse{Query: u.Unnamed.SQL, ParameterOIDs: u.Unnamed.ParameterOIDs}
		bytes = append(bytes, mustEncode(&p)...)
	}
	if len(bytes) == 0 {
		return part{}, nil, false
	}
	bytes = append(bytes, mustEncode(&pgproto3.Sync{})...)
	return part{kind: partPrepare, bytes: bytes}, names, true
}

// mustEncode encodes a message whose size was validated before.
func mustEncode(m pgproto3.FrontendMessage) []byte {
	b, err := m.Encode(nil)
	if err != nil {
		panic(fmt.Sprintf("upstream: message cannot be encoded: %v", err))
	}
	return b
}
