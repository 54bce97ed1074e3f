package member

func (p *parser) transactionWord() {
	if !p.accept("transaction") {
		p.accept("work")
	}
}

func (p *parser) set(st *statement) {
	st.verb, st.tag, st.local = verbSet, "SET", p.accept("local")
	p.accept("session")
	zone := p.peek().text == "time"
	st.name = p.settingName()
	if !zone && !p.accept("=") {
		p.expect("to")
	}
	if p.accept("default") {
		st.verb = verbReset
		return
	}
	st.args = []operand{p.setValue()}
	for p.accept(",") {
		st.args = append(st.args, p.setValue())
	}
}

// settingName reads the name of a setting, TIME ZONE among them.
func (p *parser) settingName() string {
	name := p.word()
	if name == "time" && p.accept("zone") {
		return "timezone"
	}
	for p.accept(".") {
		name += "." + p.word()
	}
	return name
}

func (p *parser) setValue() operand {
	if t := p.peek(); t.kind == kindWord {
		return operand{text: p.word()}
	}
	return p.operand()
}

func (p *parser) selects(st *statement) {
	switch t := p.peek(); {
	case t.kind != kindWord && t.kind != '*':
		st.verb, st.args = verbConstant, []operand{p.operand()}
		st.columns = []column{{"?column?", st.args[0].oid}}
	case p.accept("*"):
		p.expect("from")
		st.verb, st.name, st.args = verbControl, p.word(), p.operands()
		count, ok := controlFunctions[st.name]
		p.failed = p.failed || !ok || len(st.args) != count
		st.columns = statusColumns
		if st.name == "group_connections" {
			st.columns = connectionColumns
		}
	case p.accept("count"):
		p.expect("(", "*", ")", "from")
		st.verb, st.columns = verbCount, []column{{"count", oidInt8}}
		p.table(st)
	case p.accept("repeat_rows"):
		st.verb, st.args, st.columns = verbRepeatRows, p.operands(), textColumns("repeat_rows")
		p.failed = p.failed || len(st.args) != 2
	case p.accept("pg_sleep"):
		st.verb, st.args, st.columns = verbSleep, p.operands(), textColumns("pg_sleep")
		p.failed = p.failed || len(st.args) != 1
	default:
		p.get(st)
	}
}

func (p *parser) get(st *statement) {
	st.verb = verbGet
	names := []string{p.word()}
	for p.accept(",") {
		names = append(names, p.word())
	}
	p.expect("from")
	p.table(st)
	p.where(st, operand{})
	if p.failed {
		return
	}
	st.columns = textColumns(names...)
	for _, name := range names {
		st.keyColumn = append(st.keyColumn, name == st.table.key)
		p.failed = p.failed || name != st.table.key && name != st.table.value
	}
}

func (p *parser) table(st *statement) {
	st.table = tables[p.word()]
	if st.table == nil {
		p.failed = true
		st.table = &table{}
	}
}

func (p *parser) where(st *statement, value operand) {
	p.expect("where", st.table.key, "=")
	st.pairs = []pair{{p.operand(), value}}
}

func (p *parser) insert(st *statement) {
	st.verb = verbInsert
	p.expect("into")
	p.table(st)
	p.expect("(", st.table.key, ",", st.table.value, ")", "values")
	for !p.failed {
		values := p.operands()
		if len(values) != 2 {
			p.failed = true
			return
		}
		st.pairs = append(st.pairs, pair{values[0], values[1]})
		if !p.accept(",") {
			break
		}
	}
	if !p.accept("on") {
		return
	}
	p.expect("conflict", "(", st.table.key, ")", "do")
	if p.accept("nothing") {
		st.verb = verbInsertIgnore
		return
	}
	st.verb = verbUpsert
	p.expect("update", "set", st.table.value, "=", "excluded", ".", st.table.value)
}

func (p *parser) update(st *statement) {
	st.verb = verbUpdate
	p.table(st)
	p.expect("set", st.table.value, "=")
	p.where(st, p.operand())
}
