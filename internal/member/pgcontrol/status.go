package pgcontrol

import (
	"fmt"
	"strconv"

	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/member"
)

// statusColumns is the number of columns of a status row: role, entered,
// last_term, last_position, term_start, attached.
const statusColumns = 6

// ParseStatus parses the text fields of one status row, in column order. If they
// are not a valid status row, the error wraps ErrMalformedStatus.
func ParseStatus(fields [][]byte) (member.Status, error) {
	if len(fields) != statusColumns {
		return member.Status{}, fmt.Errorf("%w: %d columns", ErrMalformedStatus, len(fields))
	}
	role := member.Role(fields[0])
	switch role {
	case member.RolePrimary, member.RoleReplica, member.RoleFenced:
	default:
		return member.Status{}, fmt.Errorf("%w: role %q", ErrMalformedStatus, role)
	}
	var numbers [statusColumns - 1]uint64
	for i, f := range fields[1:] {
		n, err := strconv.ParseUint(string(f), 10, 64)
		if err != nil {
			return member.Status{}, fmt.Errorf("%w: column %d: %w", ErrMalformedStatus, i+2, err)
		}
		numbers[i] = n
	}
	return member.Status{
		Role:         role,
		EnteredTerm:  logpos.Term(numbers[0]),
		LastRecord:   logpos.TermPosition{Term: logpos.Term(numbers[1]), Position: logpos.Position(numbers[2])},
		TermStart:    logpos.Position(numbers[3]),
		AttachedTerm: logpos.Term(numbers[4]),
	}, nil
}
