// Package document holds the service document: the one text that a service
// team edits. It is INI, checked whole before it is accepted, and applied
// atomically by version.
package document

import (
	"time"

	"github.com/topazrock/topazrock/internal/workspace"
)

// Service is one parsed and checked service document.
type Service struct {
	Name   string
	Groups []Group
	Users  []User
	// Workspaces are those that users belong to.
	Workspaces []Workspace
	Limits     Limits
	Reads      []ReadClass
	Writes     []RequestClass
	// reads finds the read classes by name once Index was called.
	reads map[string]int
}

// Group is one database group that the service uses. Callers name it as the
// database they connect to.
type Group struct {
	Name    string
	Members []Member
	// Connections is the hard total of connections to the group's members over
	// all instances.
	Connections int
	// MemberConnections is how many connections each member takes, where that is
	// what is limited; zero where the total alone is.
	MemberConnections int
	// Size is how many members a majority is counted over at least, where the list of
	// members follows their own entries and may be short of some; zero means as many
	// as are listed.
	Size int
	// Slots bounds the statements that run in the group at once, over all instances.
	Slots int
}

// Member is one member of a database group.
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
	// Workspace is the one that the user belongs to; empty for none.
	Workspace string
}

// Workspace is one tenant of the service.
type Workspace struct {
	// Workspace has the name that the document gives it; see FullName.
	workspace.Workspace
	// OwnConnections says that its statements run on connections to members of its own.
	OwnConnections bool
}

// FullName is a workspace's name among those of all services.
func (s *Service) FullName(w Workspace) string { return s.Name + "/" + w.Name }

// FindWorkspace returns the workspace of a name.
func (s *Service) FindWorkspace(name string) (Workspace, bool) {
	for _, w := range s.Workspaces {
		if w.Name == name {
			return w, true
		}
	}
	return Workspace{}, false
}

// Limits bounds time and size for every class that does not state its own.
type Limits struct {
	// StatementTimeout bounds one statement at a member.
	StatementTimeout time.Duration
	// RequestTimeout is a caller's deadline from arrival to answer.
	RequestTimeout time.Duration
	// ConfirmTimeout bounds the wait for a replica's confirmation.
	ConfirmTimeout time.Duration
	// TransactionIdleTimeout bounds how long an open transaction may be idle.
	TransactionIdleTimeout time.Duration
	// AnswerBuffer is how many bytes of an answer are held before the first
	// byte goes out.
	AnswerBuffer int
	// MaxQueue bounds each class's queue on one instance.
	MaxQueue int
}

// ReadClass is a declared kind of read.
type ReadClass struct {
	Name string
	// MaxAge is the age of data that the read accepts. Zero: it must be fresh.
	MaxAge time.Duration
	// Primary says that reads run at the primary alone and see every write that
	// was acknowledged before them; MaxAge is not used then.
	Primary bool
	// Writes says that units of the class may also write; each unit tells whether
	// it only reads.
	Writes bool
	// Priority orders classes for a slot; 1 goes first, 9 last.
	Priority int
	// MaxQueue bounds the class's queue on one instance; zero means Limits.MaxQueue.
	MaxQueue int
	// Timeout is the class's deadline; zero means Limits.RequestTimeout.
	Timeout time.Duration
	// Objective is the time in which callers want their answer; zero where none is
	// stated.
	Objective time.Duration
}

// RequestClass is a declared kind of request that may write.
type RequestClass struct {
	Name string
	// AtMostOnce says that a request of the class must never be repeated. Such
	// a request needs a key.
	AtMostOnce bool
	Priority   int
	MaxQueue   int
	Timeout    time.Duration
}

// FindGroup returns the group of a name.
func (s *Service) FindGroup(name string) (Group, bool) {
	for _, g := range s.Groups {
		if g.Name == name {
			return g, true
		}
	}
	return Group{}, false
}

// Index prepares the look-up of classes. It is for services with hundreds of them,
// and comes before the service is shared.
func (s *Service) Index() {
	s.reads = make(map[string]int, len(s.Reads))
	for i, r := range s.Reads {
		s.reads[r.Name] = i
	}
}

// FindRead returns the read class of a name.
func (s *Service) FindRead(name string) (ReadClass, bool) {
	if s.reads != nil {
		i, ok := s.reads[name]
		if !ok {
			return ReadClass{}, false
		}
		return s.Reads[i], true
	}
	for _, r := range s.Reads {
		if r.Name == name {
			return r, true
		}
	}
	return ReadClass{}, false
}

// FindWrite returns the request class of a name.
func (s *Service) FindWrite(name string) (RequestClass, bool) {
	for _, w := range s.Writes {
		if w.Name == name {
			return w, true
		}
	}
	return RequestClass{}, false
}

// FindUser returns the account of a name.
func (s *Service) FindUser(name string) (User, bool) {
	for _, u := range s.Users {
		if u.Name == name {
			return u, true
		}
	}
	return User{}, false
}

// TimeoutOf returns the time that a request of a class may take, from arrival to
// answer; an unknown class gets that of requests without one.
func (s *Service) TimeoutOf(class string) time.Duration {
	timeout := s.Limits.RequestTimeout
	if r, ok := s.FindRead(class); ok && r.Timeout > 0 {
		timeout = r.Timeout
	}
	if w, ok := s.FindWrite(class); ok && w.Timeout > 0 {
		timeout = w.Timeout
	}
	return timeout
}
