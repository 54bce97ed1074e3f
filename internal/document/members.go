package document

import (
	"fmt"
	"strings"

	"github.com/topazrock/topazrock/internal/inifile"
)

// membersKind parses a list of failure-domain/IP:port entries, separated by
// commas, spaces or tabs, into a []Member.
type membersKind struct{}

// Parse implements inifile.ValueType.
func (membersKind) Parse(text string) (any, error) {
	var list []Member
	seen := make(map[string]bool)
	for _, item := range strings.FieldsFunc(text, isListSeparator) {
		m, err := parseMember(item)
		if err != nil {
			return []Member(nil), err
		}
		if seen[m.Address] {
			return []Member(nil), fmt.Errorf("member %s stands twice", m.Address)
		}
		seen[m.Address] = true
		list = append(list, m)
	}
	if len(list) < MinMembers || len(list) > MaxMembers {
		return []Member(nil), fmt.Errorf("%d members", len(list))
	}
	return list, nil
}

// Allowed implements inifile.ValueType.
func (membersKind) Allowed() string {
	return fmt.Sprintf("%d to %d of failure-domain/IP:port, parted by commas", MinMembers, MaxMembers)
}

func isListSeparator(r rune) bool { return r == ',' || r == ' ' || r == '\t' }

func parseMember(item string) (Member, error) {
	domain, address, _ := strings.Cut(item, "/")
	if _, err := (inifile.Name{}).Parse(domain); err != nil {
		return Member{}, fmt.Errorf("member %q: failure domain: %w", item, err)
	}
	v, err := inifile.Address{}.Parse(address)
	if err != nil {
		return Member{}, fmt.Errorf("member %q: %w", item, err)
	}
	return Member{Address: v.(string), FailureDomain: domain}, nil
}
