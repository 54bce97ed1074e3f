package executor

import (
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/member/pgcontrol"
	"github.com/topazrock/topazrock/internal/upstream"
)

// partKind tells what one pipelined part of an exchange is for.
type partKind int

const (
	partPrepare partKind = iota
	partBegin
	partKey
	partUnit
	partCommit
	partStatus
)

// part is a piece of an exchange that is answered by exactly one ReadyForQuery.
type part struct {
	kind  partKind
	bytes []byte
}

func queryPart(kind partKind, sql string) part {
	q := pgproto3.Query{String: sql}
	return part{kind: kind, bytes: mustEncode(&q)}
}

func unitPart(u *execution.Unit) part { return part{kind: partUnit, bytes: u.Messages} }

// keyPart inserts the row of the unit's key.
func keyPart(u *execution.Unit) part { return queryPart(partKey, insertKey(u.Key, keyRan)) }

func statusPart() part { return queryPart(partStatus, pgcontrol.StatusStatement) }

// Outcomes of a key row.
const (
	keyRan     = "ran"
	keyBlocked = "blocked"
)

// uniqueViolation is the SQLSTATE of an insert whose key exists.
const uniqueViolation = "23505"

func insertKey(key, outcome string) string {
	return fmt.Sprintf("INSERT INTO topazrock_request_keys (key, outcome) VALUES (%s, '%s')", quote(key), outcome)
}

func selectKey(key string) string {
	return fmt.Sprintf("SELECT outcome FROM topazrock_request_keys WHERE key = %s", quote(key))
}

// quote returns an SQL literal. Backslashes are refused with the tag, so that
// doubling quotes is enough.
func quote(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }

// preparePart defines the statements that the connection lacks. The second
// value is false when it lacks none.
func preparePart(c *upstream.Conn, u *execution.Unit) (part, []string, bool) {
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

// mustEncode encodes a message whose size was bounded before.
func mustEncode(m pgproto3.Message) []byte {
	b, err := m.Encode(nil)
	if err != nil {
		panic(fmt.Sprintf("executor: message cannot be encoded: %v", err))
	}
	return b
}
