package document

import (
	"fmt"
	"time"

	"github.com/topazrock/topazrock/internal/consistency"
	"github.com/topazrock/topazrock/internal/inifile"
	"github.com/topazrock/topazrock/internal/workspace"
)

// Parse parses and validates a service document. The returned error is an
// inifile.Problems with every problem found; fileName is the file name that the
// problems report.
func Parse(fileName string, text []byte) (*Service, error) {
	f := inifile.Read(&schema, fileName, text)
	s := buildService(f)
	checkLimits(f, s)
	checkGroups(f)
	checkClasses(f, s)
	checkWorkspaces(f, s)
	if err := f.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

func buildService(f *inifile.File) *Service {
	s := &Service{Name: f.FirstSection(&schema, sectionService).String("name")}
	for _, sec := range f.SectionsOfKind(sectionGroup) {
		list, _ := sec.Value("members").([]Member)
		s.Groups = append(s.Groups, Group{Name: sec.Name, Members: list,
			Connections: sec.Int("connections"), Slots: sec.Int("slots")})
	}
	for _, sec := range f.SectionsOfKind(sectionUser) {
		s.Users = append(s.Users, User{Name: sec.Name, Verifier: sec.String("verifier"), Workspace: sec.String("workspace")})
	}
	for _, sec := range f.SectionsOfKind(sectionWorkspace) {
		s.Workspaces = append(s.Workspaces, buildWorkspace(sec))
	}
	s.Limits = buildLimits(f.FirstSection(&schema, sectionLimits))
	for _, sec := range f.SectionsOfKind(sectionRead) {
		s.ReadClasses = append(s.ReadClasses, ReadClass{Name: sec.Name, Consistency: consistency.WithinAge(sec.Duration("max_age")),
			Priority: sec.Int("priority"), MaxQueue: sec.Int("max_queue"), Timeout: sec.Duration("timeout")})
	}
	for _, sec := range f.SectionsOfKind(sectionRequest) {
		s.RequestClasses = append(s.RequestClasses, RequestClass{Name: sec.Name, AtMostOnce: sec.String("repeat") == repeatNever,
			Priority: sec.Int("priority"), MaxQueue: sec.Int("max_queue"), Timeout: sec.Duration("timeout")})
	}
	return s
}

func buildWorkspace(sec *inifile.Section) Workspace {
	return Workspace{
		Workspace: workspace.Workspace{
			Name:     sec.Name,
			Priority: sec.Int("priority"),
			Limit:    workspace.Limit{Rate: sec.Decimal("rate"), Burst: sec.Decimal("burst")},
		},
		OwnConnections: sec.String("connections") == connectionsOwn,
	}
}

func buildLimits(sec *inifile.Section) Limits {
	return Limits{
		StatementTimeout:       sec.Duration("statement_timeout"),
		RequestTimeout:         sec.Duration("request_timeout"),
		ConfirmTimeout:         sec.Duration("confirm_timeout"),
		TransactionIdleTimeout: sec.Duration("transaction_idle_timeout"),
		AnswerBuffer:           sec.Int("answer_buffer"),
		MaxQueue:               sec.Int("max_queue"),
	}
}

func checkLimits(f *inifile.File, s *Service) {
	sec := f.FirstSection(&schema, sectionLimits)
	l := s.Limits
	if l.StatementTimeout > l.RequestTimeout && l.RequestTimeout > 0 {
		f.AddKeyProblem(sec, "statement_timeout", "longer than request_timeout", upTo(l.RequestTimeout))
	}
	if l.ConfirmTimeout > l.RequestTimeout && l.RequestTimeout > 0 {
		f.AddKeyProblem(sec, "confirm_timeout", "longer than request_timeout", upTo(l.RequestTimeout))
	}
}

func upTo(d time.Duration) string { return "up to " + d.String() }

// checkGroups rejects groups that share a member, whose connections would all
// be used as control connections, or that have more slots than connections. A
// member in two groups would have its connections counted twice.
func checkGroups(f *inifile.File) {
	owner := make(map[string]string)
	for _, sec := range f.SectionsOfKind(sectionGroup) {
		list, _ := sec.Value("members").([]Member)
		for _, m := range list {
			if other, taken := owner[m.Address]; taken {
				f.AddKeyProblem(sec, "members", fmt.Sprintf("member %s belongs to group %s", m.Address, other),
					"each member in one group")
			}
			owner[m.Address] = sec.Name
		}
		connections := sec.Int("connections")
		// A home keeps one control connection to each member and needs at least
		// one more for statements.
		if minConnections := len(list) + 1; connections > 0 && connections < minConnections {
			f.AddKeyProblem(sec, "connections", "too few for the members", fmt.Sprintf("%d to %d", minConnections, maxConnections))
		}
		if slots := sec.Int("slots"); connections > 0 && slots > connections {
			f.AddKeyProblem(sec, "slots", "more slots than connections", fmt.Sprintf("1 to %d", connections))
		}
	}
}

// checkWorkspaces rejects users that belong to an undefined workspace, and rate
// limits under which no operation could ever start.
func checkWorkspaces(f *inifile.File, s *Service) {
	for _, sec := range f.SectionsOfKind(sectionUser) {
		name := sec.String("workspace")
		if _, found := s.FindWorkspace(name); name != "" && !found {
			f.AddKeyProblem(sec, "workspace", "no section [workspace "+name+"]", "the name of a workspace of this document")
		}
	}
	for _, sec := range f.SectionsOfKind(sectionWorkspace) {
		if sec.Decimal("rate") > 0 && sec.Decimal("burst") < 1 {
			f.AddKeyProblem(sec, "burst", "less than one operation", "1 or more where a rate is given")
		}
		if sec.Decimal("burst") > 0 && sec.Decimal("rate") == 0 {
			f.AddKeyProblem(sec, "rate", "a burst without a rate never fills again", "more than 0 where a burst is given")
		}
	}
}

// checkClasses rejects a read class and a request class with the same name: the
// tag in a statement identifies a class by name only.
func checkClasses(f *inifile.File, s *Service) {
	for _, sec := range f.SectionsOfKind(sectionRequest) {
		if _, taken := s.FindReadClass(sec.Name); taken {
			f.AddSectionProblem(sec, "a read class has the same name", "one name for one class")
		}
	}
}
