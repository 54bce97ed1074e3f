package group

import (
	"time"

	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/member"
)

// MemberView is what is known about one member.
type MemberView struct {
	Address       string
	FailureDomain string
	Status        member.Status
	// ReportedAt is when the newest report was requested; zero if there is none.
	ReportedAt time.Time
	// FreshAsOf bounds the age of the member's data: the member has since reached the
	// confirmed position that the primary was asked for at this time. Zero when nothing is
	// proven.
	FreshAsOf time.Time
	// FailingSince is when the first of the current run of failed probes on new connections was
	// sent; zero if the last one succeeded.
	FailingSince time.Time
	// Failures counts the failed probes since FailingSince.
	Failures int
	// ConnectionRefused is set if the last probe's connection was refused: the host answers, but no
	// process listens on the port.
	ConnectionRefused bool
	// Leaving is set if the platform lists the member as leaving.
	Leaving bool
}

// Snapshot is what is known about a group at one moment. It is immutable once published.
type Snapshot struct {
	Group string
	// Term is the highest known term, and Primary is the address of its primary; empty if
	// the term's primary is unknown.
	Term      logpos.Term
	Primary   string
	TermStart logpos.Position
	// LedTerm is the highest term in which a member reported itself as primary. It is below
	// Term while members are fenced for a promotion.
	LedTerm logpos.Term
	// QuorumAttachedAt is the latest time for which enough replicas for a confirmation, when
	// queried at that time or later, reported themselves attached in Term. Writes are
	// refused before sending when it is old.
	QuorumAttachedAt time.Time
	// StalledSince is the time since which too few replicas for a confirmation have made
	// progress although the primary is ahead of them; zero while enough do. A primary that
	// is disconnected only from its replicas still answers probes.
	StalledSince time.Time
	Members      []MemberView
	// Size is the number of members that a majority is counted over.
	Size int
}

// FindMember returns the view of the member with the given address.
func (s *Snapshot) FindMember(address string) (MemberView, bool) {
	for _, m := range s.Members {
		if m.Address == address {
			return m, true
		}
	}
	return MemberView{}, false
}
