package member

import "github.com/jackc/pgx/v5/pgproto3"

// prepared is a prepared statement. Its statement is nil if the query was empty.
type prepared struct {
	statement *statement
	oids      []uint32
}

// portal is a bound statement. It keeps its result, of which the first sent rows
// have been sent, so that Execute can continue after a row limit.
type portal struct {
	statement *statement
	args      []string
	formats   []int16
	result    *result
	sent      int
}

func (s *session) handleExtended(message pgproto3.FrontendMessage) error {
	switch m := message.(type) {
	case *pgproto3.Parse:
		return s.handleParse(m)
	case *pgproto3.Bind:
		return s.handleBind(m)
	case *pgproto3.Describe:
		return s.handleDescribe(m)
	case *pgproto3.Execute:
		return s.executePortal(m)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(s.prepared, m.Name)
		} else {
			delete(s.portals, m.Name)
		}
		s.backend.Send(&pgproto3.CloseComplete{})
		return nil
	default:
		return &sqlError{stateProtocolViolation, "unexpected message"}
	}
}

func (s *session) handleParse(m *pgproto3.Parse) error {
	if m.Name != "" && s.prepared[m.Name] != nil {
		return &sqlError{stateDuplicatePrepared, "prepared statement \"" + m.Name + "\" already exists"}
	}
	statements, err := parse(m.Query)
	if err != nil {
		return err
	}
	if len(statements) > 1 {
		return errSyntax
	}
	p := &prepared{}
	if len(statements) == 1 {
		p.statement = statements[0]
		p.oids = make([]uint32, p.statement.params)
		for i := range p.oids {
			p.oids[i] = oidText
			if i < len(m.ParameterOIDs) && m.ParameterOIDs[i] != 0 {
				p.oids[i] = m.ParameterOIDs[i]
			}
		}
	}
	s.prepared[m.Name] = p
	s.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

func (s *session) handleBind(m *pgproto3.Bind) error {
	p := s.prepared[m.PreparedStatement]
	if p == nil {
		return &sqlError{stateUnknownPrepared, "prepared statement \"" + m.PreparedStatement + "\" does not exist"}
	}
	if len(m.Parameters) != len(p.oids) {
		return &sqlError{stateProtocolViolation, "wrong number of parameters"}
	}
	args := make([]string, len(m.Parameters))
	for i, raw := range m.Parameters {
		args[i] = decodeParameter(raw, p.oids[i], formatCode(m.ParameterFormatCodes, i))
	}
	formats := append([]int16(nil), m.ResultFormatCodes...)
	s.portals[m.DestinationPortal] = &portal{statement: p.statement, args: args, formats: formats}
	s.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func (s *session) handleDescribe(m *pgproto3.Describe) error {
	var st *statement
	var formats []int16
	if m.ObjectType == 'S' {
		p := s.prepared[m.Name]
		if p == nil {
			return &sqlError{stateUnknownPrepared, "prepared statement \"" + m.Name + "\" does not exist"}
		}
		s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: p.oids})
		st = p.statement
	} else {
		p := s.portals[m.Name]
		if p == nil {
			return &sqlError{stateUnknownPortal, "portal \"" + m.Name + "\" does not exist"}
		}
		st, formats = p.statement, p.formats
	}
	if st == nil || st.columns == nil {
		s.backend.Send(&pgproto3.NoData{})
	} else {
		s.backend.Send(rowDescription(st.columns, formats))
	}
	return nil
}

func (s *session) executePortal(m *pgproto3.Execute) error {
	p := s.portals[m.Portal]
	if p == nil {
		return &sqlError{stateUnknownPortal, "portal \"" + m.Portal + "\" does not exist"}
	}
	if p.statement == nil {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if p.result == nil {
		res, err := s.runStatement(p.statement, p.args)
		if err != nil {
			return err
		}
		p.result = res
	}
	return s.sendRows(p, int(m.MaxRows))
}

// sendRows sends the remaining rows of a portal, at most limit of them if limit is
// not zero.
func (s *session) sendRows(p *portal, limit int) error {
	res := p.result
	for sent := 0; p.sent < res.count; sent++ {
		if limit > 0 && sent == limit {
			s.backend.Send(&pgproto3.PortalSuspended{})
			return nil
		}
		cells := res.row(p.sent)
		values := make([][]byte, len(cells))
		for i, cell := range cells {
			values[i] = encodeCell(cell, res.columns[i].oid, formatCode(p.formats, i))
		}
		s.backend.Send(&pgproto3.DataRow{Values: values})
		p.sent++
		if p.sent%flushEvery == 0 {
			if err := s.backend.Flush(); err != nil {
				return err
			}
		}
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(res.tag)})
	return nil
}
