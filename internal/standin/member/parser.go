package member

import "strconv"

// parser reads one statement. After a failure every method does nothing.
type parser struct {
	tokens []lexeme
	next   int
	failed bool
	params int
}

func (p *parser) peek() lexeme {
	if p.failed || p.next >= len(p.tokens) {
		return lexeme{}
	}
	return p.tokens[p.next]
}

func (p *parser) accept(word string) bool {
	t := p.peek()
	ok := t.kind == kindWord && t.text == word || len(word) == 1 && t.kind == rune(word[0])
	if ok {
		p.next++
	}
	return ok
}

func (p *parser) expect(words ...string) {
	for _, w := range words {
		if !p.accept(w) {
			p.failed = true
		}
	}
}

func (p *parser) word() string {
	t := p.peek()
	if t.kind != kindWord {
		p.failed = true
	}
	p.next++
	return t.text
}

func (p *parser) operand() operand {
	t := p.peek()
	p.next++
	o := operand{text: t.text, oid: oidText}
	switch t.kind {
	case kindText:
	case kindNumber:
		o.oid = oidInt4
	case kindParam:
		number, err := strconv.Atoi(t.text)
		if err != nil || number < 1 {
			p.failed = true
		}
		o.param = number
		p.params = max(p.params, number)
	default:
		p.failed = true
	}
	if p.accept(":") {
		p.expect(":")
		p.word()
	}
	return o
}

// operands reads operands in parentheses.
func (p *parser) operands() []operand {
	var all []operand
	p.expect("(")
	for !p.failed && !p.accept(")") {
		if len(all) > 0 {
			p.expect(",")
		}
		all = append(all, p.operand())
	}
	return all
}

func (p *parser) statement() *statement {
	st := &statement{}
	switch first := p.word(); first {
	case "begin":
		st.verb, st.tag = verbBegin, "BEGIN"
		p.rest()
	case "start":
		st.verb, st.tag = verbBegin, "START TRANSACTION"
		p.expect("transaction")
		p.rest()
	case "commit", "end":
		st.verb, st.tag = verbCommit, "COMMIT"
		p.transactionWord()
	case "rollback", "abort":
		st.verb, st.tag = verbRollback, "ROLLBACK"
		p.transactionWord()
	case "set":
		p.set(st)
	case "reset":
		st.verb, st.tag, st.name = verbReset, "RESET", p.settingName()
	case "discard":
		st.verb, st.tag = verbDiscard, "DISCARD ALL"
		p.expect("all")
	case "show":
		st.verb, st.name = verbShow, p.settingName()
		st.columns = textColumns(st.name)
	case "select":
		p.selects(st)
	case "insert":
		p.insert(st)
	case "update":
		p.update(st)
	case "delete":
		st.verb = verbDelete
		p.expect("from")
		p.table(st)
		p.where(st, operand{})
	default:
		p.failed = true
	}
	st.params = p.params
	return st
}

func (p *parser) rest() { p.next = len(p.tokens) }
