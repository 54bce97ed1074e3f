package member

import "strconv"

// parser parses one statement. After a failure, peek returns only empty tokens.
type parser struct {
	tokens []token
	next   int
	failed bool
	params int
}

func (p *parser) peek() token {
	if p.failed || p.next >= len(p.tokens) {
		return token{}
	}
	return p.tokens[p.next]
}

func (p *parser) acceptToken(word string) bool {
	t := p.peek()
	ok := t.kind == kindWord && t.text == word || len(word) == 1 && t.kind == rune(word[0])
	if ok {
		p.next++
	}
	return ok
}

func (p *parser) expectTokens(words ...string) {
	for _, w := range words {
		if !p.acceptToken(w) {
			p.failed = true
		}
	}
}

func (p *parser) parseWord() string {
	t := p.peek()
	if t.kind != kindWord {
		p.failed = true
	}
	p.next++
	return t.text
}

func (p *parser) parseOperand() operand {
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
	if p.acceptToken(":") {
		p.expectTokens(":")
		p.parseWord()
	}
	return o
}

// parseOperands parses a list of operands in parentheses.
func (p *parser) parseOperands() []operand {
	var all []operand
	p.expectTokens("(")
	for !p.failed && !p.acceptToken(")") {
		if len(all) > 0 {
			p.expectTokens(",")
		}
		all = append(all, p.parseOperand())
	}
	return all
}

func (p *parser) parseStatement() *statement {
	st := &statement{}
	switch first := p.parseWord(); first {
	case "begin":
		st.verb, st.tag = verbBegin, "BEGIN"
		p.skipRest()
	case "start":
		st.verb, st.tag = verbBegin, "START TRANSACTION"
		p.expectTokens("transaction")
		p.skipRest()
	case "commit", "end":
		st.verb, st.tag = verbCommit, "COMMIT"
		p.skipTransactionWord()
	case "rollback", "abort":
		st.verb, st.tag = verbRollback, "ROLLBACK"
		p.skipTransactionWord()
	case "set":
		p.parseSet(st)
	case "reset":
		st.verb, st.tag, st.name = verbReset, "RESET", p.parseSettingName()
	case "discard":
		st.verb, st.tag = verbDiscard, "DISCARD ALL"
		p.expectTokens("all")
	case "show":
		st.verb, st.name = verbShow, p.parseSettingName()
		st.columns = textColumns(st.name)
	case "select":
		p.parseSelect(st)
	case "insert":
		p.parseInsert(st)
	case "update":
		p.parseUpdate(st)
	case "delete":
		st.verb = verbDelete
		p.expectTokens("from")
		p.parseTable(st)
		p.parseWhere(st, operand{})
	default:
		p.failed = true
	}
	st.params = p.params
	return st
}

func (p *parser) skipRest() { p.next = len(p.tokens) }
