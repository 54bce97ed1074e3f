package member

func (p *parser) skipTransactionWord() {
	if !p.acceptToken("transaction") {
		p.acceptToken("work")
	}
}

func (p *parser) parseSet(st *statement) {
	st.verb, st.tag, st.local = verbSet, "SET", p.acceptToken("local")
	p.acceptToken("session")
	isTimeZone := p.peek().text == "time"
	st.name = p.parseSettingName()
	if !isTimeZone && !p.acceptToken("=") {
		p.expectTokens("to")
	}
	if p.acceptToken("default") {
		st.verb = verbReset
		return
	}
	st.args = []operand{p.parseSetValue()}
	for p.acceptToken(",") {
		st.args = append(st.args, p.parseSetValue())
	}
}

// parseSettingName parses the name of a setting, including the two-word TIME ZONE.
func (p *parser) parseSettingName() string {
	name := p.parseWord()
	if name == "time" && p.acceptToken("zone") {
		return "timezone"
	}
	for p.acceptToken(".") {
		name += "." + p.parseWord()
	}
	return name
}

func (p *parser) parseSetValue() operand {
	if t := p.peek(); t.kind == kindWord {
		return operand{text: p.parseWord()}
	}
	return p.parseOperand()
}

func (p *parser) parseSelect(st *statement) {
	switch t := p.peek(); {
	case t.kind != kindWord && t.kind != '*':
		st.verb, st.args = verbConstant, []operand{p.parseOperand()}
		st.columns = []column{{"?column?", st.args[0].oid}}
	case p.acceptToken("*"):
		p.expectTokens("from")
		st.verb, st.name, st.args = verbControl, p.parseWord(), p.parseOperands()
		count, ok := controlFunctions[st.name]
		p.failed = p.failed || !ok || len(st.args) != count
		st.columns = statusColumns
		if st.name == "group_connections" {
			st.columns = connectionColumns
		}
	case p.acceptToken("count"):
		p.expectTokens("(", "*", ")", "from")
		st.verb, st.columns = verbCount, []column{{"count", oidInt8}}
		p.parseTable(st)
	case p.acceptToken("repeat_rows"):
		st.verb, st.args, st.columns = verbRepeatRows, p.parseOperands(), textColumns("repeat_rows")
		p.failed = p.failed || len(st.args) != 2
	case p.acceptToken("pg_sleep"):
		st.verb, st.args, st.columns = verbSleep, p.parseOperands(), textColumns("pg_sleep")
		p.failed = p.failed || len(st.args) != 1
	default:
		p.parseGet(st)
	}
}

func (p *parser) parseGet(st *statement) {
	st.verb = verbGet
	names := []string{p.parseWord()}
	for p.acceptToken(",") {
		names = append(names, p.parseWord())
	}
	p.expectTokens("from")
	p.parseTable(st)
	p.parseWhere(st, operand{})
	if p.failed {
		return
	}
	st.columns = textColumns(names...)
	for _, name := range names {
		st.keyColumn = append(st.keyColumn, name == st.table.key)
		p.failed = p.failed || name != st.table.key && name != st.table.value
	}
}

func (p *parser) parseTable(st *statement) {
	st.table = tables[p.parseWord()]
	if st.table == nil {
		p.failed = true
		st.table = &table{}
	}
}

func (p *parser) parseWhere(st *statement, value operand) {
	p.expectTokens("where", st.table.key, "=")
	st.pairs = []pair{{p.parseOperand(), value}}
}

func (p *parser) parseInsert(st *statement) {
	st.verb = verbInsert
	p.expectTokens("into")
	p.parseTable(st)
	p.expectTokens("(", st.table.key, ",", st.table.value, ")", "values")
	for !p.failed {
		values := p.parseOperands()
		if len(values) != 2 {
			p.failed = true
			return
		}
		st.pairs = append(st.pairs, pair{values[0], values[1]})
		if !p.acceptToken(",") {
			break
		}
	}
	if !p.acceptToken("on") {
		return
	}
	p.expectTokens("conflict", "(", st.table.key, ")", "do")
	if p.acceptToken("nothing") {
		st.verb = verbInsertIgnore
		return
	}
	st.verb = verbUpsert
	p.expectTokens("update", "set", st.table.value, "=", "excluded", ".", st.table.value)
}

func (p *parser) parseUpdate(st *statement) {
	st.verb = verbUpdate
	p.parseTable(st)
	p.expectTokens("set", st.table.value, "=")
	p.parseWhere(st, p.parseOperand())
}
