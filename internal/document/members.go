package document

import (
	"fmt"
	"strings"

	"github.com/topazrock/topazrock/internal/inifile"
)

// members is a list of failure-domain/IP:port, parted by commas or spaces; its
// value is a []Member.
type members struct{}

// Parse implements inifile.Kind.
func (members) Parse(text string) (any, error) {
	var list []Member
	seen := make(map[string]bool)
	for _, word := range strings.FieldsFunc(text, isListSeparator) {
		m, err := parseMember(word)
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

// Allowed implements inifile.Kind.
func (members) Allowed() string {
	return fmt.Sprintf("%d to %d of failure-domain/IP:port, parted by commas", MinMembers, MaxMembers)
}

func isListSeparator(r rune) bool { return r == ',' || r == ' ' || r == '\t' }

func parseMember(word string) (Member, error) {
	domain, address, _ := strings.Cut(word, "/")
	if _, err := (inifile.Name{}).Parse(domain); err != nil {
		return Member{}, fmt.Errorf("member %q: failure domain: %w", word, err)
	}
	v, err := inifile.Address{}.Parse(address)
	if err != nil {
		return Member{}, fmt.Errorf("member %q: %w", word, err)
	}
	return Member{Address: v.(string), FailureDomain: domain}, nil
}
