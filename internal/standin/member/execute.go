package member

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/member"
)

// result is the result of a statement: its command tag and, if it has columns,
// its rows.
type result struct {
	columns []column
	count   int
	row     func(i int) []string
	tag     string
}

func rowsResult(columns []column, rows ...[]string) *result {
	res := &result{columns: columns, count: len(rows), row: func(i int) []string { return rows[i] }}
	res.tag = fmt.Sprintf("SELECT %d", len(rows))
	return res
}

// execute runs any statement other than BEGIN, COMMIT and ROLLBACK.
func (s *session) execute(ctx context.Context, st *statement, args []string) (*result, error) {
	switch st.verb {
	case verbSet:
		return &result{tag: st.tag}, s.setSetting(st, args)
	case verbReset:
		s.resetSetting(st.name)
		return &result{tag: st.tag}, nil
	case verbDiscard:
		s.resetSession()
		return &result{tag: st.tag}, nil
	case verbShow:
		return s.showSetting(st)
	case verbControl:
		return s.executeControl(ctx, st, args)
	case verbConstant:
		return rowsResult(st.columns, []string{st.args[0].value(args)}), nil
	case verbInsert, verbUpsert, verbInsertIgnore, verbUpdate, verbDelete:
		for _, p := range st.pairs {
			if err := s.node.lockRow(ctx, s.tx, row{st.table.name, p.key.value(args)}); err != nil {
				return nil, err
			}
		}
	}
	// Locks are acquired before the slot: a statement that waits for a lock must
	// not block the lock's owner by occupying a slot.
	release, err := s.node.acquireSlot(ctx)
	if err != nil {
		return nil, err
	}
	defer release()
	return s.executeOnRows(st, args, ctx)
}

func (s *session) executeOnRows(st *statement, args []string, ctx context.Context) (*result, error) {
	switch st.verb {
	case verbGet:
		return s.executeGet(st, args), nil
	case verbCount:
		return rowsResult(st.columns, []string{strconv.Itoa(s.node.countRows(s.tx, st.table.name))}), nil
	case verbRepeatRows:
		return repeatRows(st, args)
	case verbSleep:
		seconds, err := strconv.ParseFloat(st.args[0].value(args), 64)
		if err != nil {
			return nil, invalidInputError(err)
		}
		if err := sleep(ctx, time.Duration(seconds*float64(time.Second))); err != nil {
			return nil, err
		}
		return rowsResult(st.columns, []string{""}), nil
	default:
		return s.executeModify(st, args)
	}
}

func (s *session) executeGet(st *statement, args []string) *result {
	key := st.pairs[0].key.value(args)
	value, ok := s.node.readRowForClient(s.tx, row{st.table.name, key})
	if !ok {
		return rowsResult(st.columns)
	}
	cells := make([]string, len(st.columns))
	for i := range cells {
		cells[i] = value
		if st.keyColumn[i] {
			cells[i] = key
		}
	}
	return rowsResult(st.columns, cells)
}

func (s *session) executeModify(st *statement, args []string) (*result, error) {
	changed := 0
	for _, p := range st.pairs {
		r := row{st.table.name, p.key.value(args)}
		_, exists := s.node.readRow(s.tx, r)
		w := write{Row: r}
		if st.verb == verbDelete {
			w.Deleted = true
		} else {
			w.Value = p.value.value(args)
		}
		switch {
		case st.verb == verbInsert && exists:
			return nil, &sqlError{stateDuplicateKey, "duplicate key value violates unique constraint \"" + st.table.name + "_pkey\""}
		case st.verb == verbInsertIgnore && exists:
			continue
		case (st.verb == verbUpdate || st.verb == verbDelete) && !exists:
			continue
		}
		s.tx.addWrite(w)
		changed++
	}
	tag := map[verb]string{verbUpdate: "UPDATE %d", verbDelete: "DELETE %d"}[st.verb]
	if tag == "" {
		tag = "INSERT 0 %d"
	}
	return &result{tag: fmt.Sprintf(tag, changed)}, nil
}

// repeatRows returns a given number of rows of a given width in bytes. Each row
// begins with its index.
func repeatRows(st *statement, args []string) (*result, error) {
	count, err := strconv.Atoi(st.args[0].value(args))
	if err != nil {
		return nil, invalidInputError(err)
	}
	width, err := strconv.Atoi(st.args[1].value(args))
	if err != nil || width < 0 || count < 0 {
		return nil, invalidInputError(err)
	}
	fill := strings.Repeat("x", width)
	res := &result{columns: st.columns, count: count, tag: fmt.Sprintf("SELECT %d", count)}
	res.row = func(i int) []string {
		number := strconv.Itoa(i) + ":"
		return []string{number + fill[min(len(number), width):]}
	}
	return res, nil
}

func invalidInputError(err error) error {
	return &sqlError{stateBadValue, fmt.Sprint("invalid input: ", err)}
}

// executeControl runs a control call and returns the resulting status, or the
// connection counts.
func (s *session) executeControl(ctx context.Context, st *statement, args []string) (*result, error) {
	n, point := s.node, "control."+strings.TrimPrefix(st.name, "group_")
	n.callHook(point + ".before")
	if st.name == "group_connections" {
		return connectionsResult(n.Connections()), nil
	}
	var numericArgs []uint64
	for i, o := range st.args {
		v, err := strconv.ParseUint(o.value(args), 10, 64)
		if err != nil && !(st.name == "group_follow" && i == 1) {
			return nil, invalidInputError(err)
		}
		numericArgs = append(numericArgs, v)
	}
	if st.name == "group_wait_position" {
		n.waitPosition(ctx, logpos.Position(numericArgs[0]), time.Duration(numericArgs[1])*time.Millisecond)
	}
	status, err := n.applyControlCall(s.process, st, numericArgs, args)
	if err != nil {
		return nil, err
	}
	n.callHook(point + ".after_before_answer")
	return statusResult(status), nil
}

// applyControlCall applies a control call and returns the resulting status, both
// under one lock.
func (n *Node) applyControlCall(proc *process, st *statement, numericArgs []uint64, args []string) (member.Status, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if proc.ctx.Err() != nil {
		return member.Status{}, &sqlError{stateNotInState, "the member is stopped"}
	}
	var err error
	switch st.name {
	case "group_enter_term":
		err = n.enterTerm(logpos.Term(numericArgs[0]))
	case "group_promote":
		err = n.promote(logpos.Term(numericArgs[0]))
	case "group_follow":
		err = n.follow(logpos.Term(numericArgs[0]), st.args[1].value(args))
	}
	return n.currentStatus(), err
}

func statusResult(s member.Status) *result {
	cells := []string{string(s.Role)}
	for _, v := range []uint64{
		uint64(s.EnteredTerm), uint64(s.LastRecord.Term), uint64(s.LastRecord.Position), uint64(s.TermStart), uint64(s.AttachedTerm),
	} {
		cells = append(cells, strconv.FormatUint(v, 10))
	}
	return rowsResult(statusColumns, cells)
}

func connectionsResult(c Connections) *result {
	var cells []string
	for _, v := range []int{c.Open, c.Peak, c.ControlOpen, c.ControlPeak, c.Refused} {
		cells = append(cells, strconv.Itoa(v))
	}
	return rowsResult(connectionColumns, cells)
}

// acquireSlot waits for a free slot, sleeps for StatementCost while holding it, and
// returns the function that releases it.
func (n *Node) acquireSlot(ctx context.Context) (func(), error) {
	release := func() {}
	if n.slots != nil {
		select {
		case n.slots <- struct{}{}:
			release = func() { <-n.slots }
		case <-ctx.Done():
			return nil, errCancelled
		}
	}
	if err := sleep(ctx, n.opts.StatementCost); err != nil {
		release()
		return nil, err
	}
	return release, nil
}

var errCancelled = &sqlError{stateCancelled, "canceling statement due to user request"}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	if !waitForChange(ctx, nil, d) {
		return errCancelled
	}
	return nil
}
