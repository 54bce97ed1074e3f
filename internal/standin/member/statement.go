package member

// verb is the kind of a statement.
type verb int

const (
	verbEmpty verb = iota
	verbBegin
	verbCommit
	verbRollback
	verbSet
	verbReset
	verbDiscard
	verbShow
	verbGet
	verbCount
	verbInsert
	verbUpsert
	verbInsertIgnore
	verbUpdate
	verbDelete
	verbConstant
	verbRepeatRows
	verbSleep
	verbControl
)

// operand is a literal, or a reference to parameter number param, from 1.
type operand struct {
	param int
	text  string
	oid   uint32
}

func (o operand) value(args []string) string {
	if o.param > 0 {
		return args[o.param-1]
	}
	return o.text
}

// pair is a key and a value to write.
type pair struct{ key, value operand }

// statement is one parsed SQL statement.
type statement struct {
	verb verb
	// tag is the command tag of a statement that does not access rows.
	tag   string
	table *table
	// name is the setting of SET, RESET and SHOW, or the function of a control call.
	name    string
	local   bool
	columns []column
	// keyColumn reports for each column whether it contains the key.
	keyColumn []bool
	pairs     []pair
	args      []operand
	params    int
}

// table is the name of one of the node's two tables and of its two columns.
type table struct{ name, key, value string }

var tables = map[string]*table{
	"kv":                     {"kv", "k", "v"},
	"topazrock_request_keys": {"topazrock_request_keys", "key", "outcome"},
}

// column is a result column with the OID of its type.
type column struct {
	name string
	oid  uint32
}

// OIDs of the PostgreSQL types in use.
const (
	oidInt8 = 20
	oidInt4 = 23
	oidText = 25
)

func textColumns(names ...string) []column {
	var c []column
	for _, name := range names {
		c = append(c, column{name, oidText})
	}
	return c
}

var statusColumns = textColumns("role", "entered", "last_term", "last_position", "term_start", "attached")

// controlFunctions maps each control function to its number of arguments.
var controlFunctions = map[string]int{
	"group_status":        0,
	"group_wait_position": 2,
	"group_enter_term":    1,
	"group_promote":       1,
	"group_follow":        2,
	"group_connections":   0,
}

var connectionColumns = textColumns("open", "highest", "control_open", "control_highest", "refused")

var errSyntax = &sqlError{stateSyntax, "syntax error: not a statement of this member"}

// parse parses a query string, which can contain several statements.
func parse(sql string) ([]*statement, error) {
	tokens, ok := lex(sql)
	if !ok {
		return nil, errSyntax
	}
	var all []*statement
	for len(tokens) > 0 {
		end := 0
		for end < len(tokens) && tokens[end].kind != ';' {
			end++
		}
		if end > 0 {
			p := parser{tokens: tokens[:end]}
			st := p.parseStatement()
			if p.failed || p.next < len(p.tokens) {
				return nil, errSyntax
			}
			all = append(all, st)
		}
		tokens = tokens[min(end+1, len(tokens)):]
	}
	return all, nil
}
