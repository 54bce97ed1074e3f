// Package document parses the service document, the single INI text that a
// service team edits. A document is validated as a whole before it is accepted,
// and a version of it is applied atomically.
package document

import (
	"time"

	"github.com/topazrock/topazrock/internal/consistency"
	"github.com/topazrock/topazrock/internal/workspace"
)

// Service is a parsed and validated service document.
type Service struct {
	Name   string
	Groups []Group
	Users  []User
	// Workspaces are the workspaces that users can belong to.
	Workspaces     []Workspace
	Limits         Limits
	ReadClasses    []ReadClass
	RequestClasses []RequestClass
	// reads maps the name of a read class to its index in ReadClasses. It is nil
	// until IndexReadClasses is called.
	reads map[string]int
}

// Group is a database group that the service uses. Callers connect to it by
// using its name as the database name.
type Group struct {
	Name    string
	Members []Member
	// Connections is the hard limit on connections to the group's members,
	// summed over all instances.
	Connections int
	// MemberConnections is the connection limit of each member. Zero means that
	// only the total is limited.
	MemberConnections int
	// MinSize is the minimum number of members over which a majority is computed.
	// It is set where the list of members is built from entries that the
	// members publish themselves and can be incomplete. Zero means the number
	// of listed members.
	MinSize int
	// Slots is the maximum number of statements that run in the group at once,
	// summed over all instances.
	Slots int
}

// Member is a member of a database group.
type Member struct {
	Address       string
	FailureDomain string
}

// User is an account that callers authenticate with.
type User struct {
	Name string
	// Verifier is a SCRAM-SHA-256 verifier in the form that PostgreSQL stores:
	// SCRAM-SHA-256$iterations:salt$storedkey:serverkey
	Verifier string
	// Workspace is the name of the workspace that the user belongs to; empty
	// for none.
	Workspace string
}

// Workspace is a tenant of the service.
type Workspace struct {
	// Workspace.Name is the name within the document; WorkspaceFullName returns the
	// globally unique one.
	workspace.Workspace
	// OwnConnections reports that the workspace's statements run on connections
	// to members that no other workspace uses.
	OwnConnections bool
}

// WorkspaceFullName returns the name of a workspace that is unique across all services.
func (s *Service) WorkspaceFullName(w Workspace) string { return s.Name + "/" + w.Name }

// FindWorkspace returns the workspace with the given name.
func (s *Service) FindWorkspace(name string) (Workspace, bool) {
	for _, w := range s.Workspaces {
		if w.Name == name {
			return w, true
		}
	}
	return Workspace{}, false
}

// Limits holds the limits on time and size for classes that set none of their
// own.
type Limits struct {
	// StatementTimeout limits the run time of one statement at a member.
	StatementTimeout time.Duration
	// RequestTimeout is the deadline of a request, from its arrival to its
	// answer.
	RequestTimeout time.Duration
	// ConfirmTimeout limits the wait for a replica's confirmation of a write.
	ConfirmTimeout time.Duration
	// TransactionIdleTimeout limits how long an open transaction can be idle.
	TransactionIdleTimeout time.Duration
	// AnswerBuffer is the number of bytes of an answer that are buffered before
	// the first byte is sent.
	AnswerBuffer int
	// MaxQueue limits the queue of each class on one instance.
	MaxQueue int
}

// ReadClass is a declared class of reads.
type ReadClass struct {
	Name string
	// Consistency is what the class's reads must see.
	Consistency consistency.Level
	// MayWrite reports that requests of the class may also write. Each request
	// declares whether it is read-only.
	MayWrite bool
	// Priority determines the order in which classes get a slot: 1 is served
	// first, 9 last.
	Priority int
	// MaxQueue limits the queue of the class on one instance; zero means
	// Limits.MaxQueue.
	MaxQueue int
	// Timeout is the deadline of a request of the class; zero means
	// Limits.RequestTimeout.
	Timeout time.Duration
	// LatencyObjective is the response time that callers expect; zero if none is
	// declared.
	LatencyObjective time.Duration
}

// RequestClass is a declared class of requests that may write.
type RequestClass struct {
	Name string
	// AtMostOnce reports that a request of the class must never run more than
	// once. Such a request needs a key.
	AtMostOnce bool
	Priority   int
	MaxQueue   int
	Timeout    time.Duration
}

// FindGroup returns the group with the given name.
func (s *Service) FindGroup(name string) (Group, bool) {
	for _, g := range s.Groups {
		if g.Name == name {
			return g, true
		}
	}
	return Group{}, false
}

// IndexReadClasses builds the lookup table for FindReadClass, which is worthwhile for services
// with hundreds of classes. It must be called before the service is shared
// between goroutines.
func (s *Service) IndexReadClasses() {
	s.reads = make(map[string]int, len(s.ReadClasses))
	for i, r := range s.ReadClasses {
		s.reads[r.Name] = i
	}
}

// FindReadClass returns the read class with the given name.
func (s *Service) FindReadClass(name string) (ReadClass, bool) {
	if s.reads != nil {
		i, ok := s.reads[name]
		if !ok {
			return ReadClass{}, false
		}
		return s.ReadClasses[i], true
	}
	for _, r := range s.ReadClasses {
		if r.Name == name {
			return r, true
		}
	}
	return ReadClass{}, false
}

// FindRequestClass returns the request class with the given name.
func (s *Service) FindRequestClass(name string) (RequestClass, bool) {
	for _, w := range s.RequestClasses {
		if w.Name == name {
			return w, true
		}
	}
	return RequestClass{}, false
}

// FindUser returns the account with the given name.
func (s *Service) FindUser(name string) (User, bool) {
	for _, u := range s.Users {
		if u.Name == name {
			return u, true
		}
	}
	return User{}, false
}

// RequestTimeout returns the deadline of a request of the given class, from its
// arrival to its answer. A class that is unknown or sets no timeout has
// Limits.RequestTimeout.
func (s *Service) RequestTimeout(class string) time.Duration {
	timeout := s.Limits.RequestTimeout
	if r, ok := s.FindReadClass(class); ok && r.Timeout > 0 {
		timeout = r.Timeout
	}
	if w, ok := s.FindRequestClass(class); ok && w.Timeout > 0 {
		timeout = w.Timeout
	}
	return timeout
}
