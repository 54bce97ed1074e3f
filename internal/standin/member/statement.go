package member

// verb is what a statement does.
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

// operand is a literal, or a parameter by its number from 1.
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

// statement is one parsed statement.
type statement struct {
	verb verb
	// tag is the command tag of statements that touch no rows.
	tag   string
	table *table
	// name is the setting of SET and SHOW or the function of a control call.
	name    string
	local   bool
	columns []column
	// keyColumn marks the columns that show the key.
	keyColumn []bool
	pairs     []pair
	args      []operand
	params    int
}

// table is one of the node's two tables.
type table struct{ name, key, value string }

var tables = map[string]*table{
	"kv":                     {"kv", "k", "v"},
	"topazrock_request_keys": {"topazrock_request_keys", "key", "outcome"},
}

// column is a result column.
type column struct {
	name string
	oid  uint32
}

// Types of result columns.
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

// controlFunctions gives the number of arguments of each control call.
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

// parse reads all statements of a text.
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
			st := p.statement()
			if p.failed || p.next < len(p.tokens) {
				return nil, errSyntax
			}
			all = append(all, st)
		}
		tokens = tokens[min(end+1, len(tokens)):]
	}
	return all, nil
}
