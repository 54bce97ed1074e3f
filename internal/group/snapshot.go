package group

import (
	"time"

	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/member"
)

// MemberView is what is known of one member.
type MemberView struct {
	Address       string
	FailureDomain string
	Status        member.Status
	// SeenAt is when the newest report was asked for; zero if there is none.
	SeenAt time.Time
	// FreshAsOf is a moment at which the primary's confirmed position was asked
	// that this member has reached since: its data is no older than that.
	// Zero when nothing is proved.
	FreshAsOf time.Time
	// Failing is since when probes on new connections have failed; zero if the
	// last one went well.
	Failing time.Time
	// Failures counts the probes that have failed since Failing.
	Failures int
	// Refused says that the last failed probe was refused: the machine answers,
	// and no process listens on it.
	Refused bool
	// Leaving says that the platform lists the member as leaving.
	Leaving bool
}

// Snapshot is what is known of a group at one moment. It is never changed
// after it was published.
type Snapshot struct {
	Group string
	// Term is the highest term known, and Primary the address of its primary;
	// empty while the term has none known.
	Term      logpos.Term
	Primary   string
	TermStart logpos.Position
	// Led is the highest term in which a member reported that it leads. It is
	// below Term while members are fenced for a promotion.
	Led logpos.Term
	// ConfirmedAt is when a report of a replica attached in Term was last
	// asked for and answered; writes are refused before sending when it is old.
	ConfirmedAt time.Time
	// StalledSince is since when too few replicas for a confirmation get any
	// further although the primary is ahead of them; zero while enough do. A
	// primary that is cut off from its replicas alone still answers probes.
	StalledSince time.Time
	Members      []MemberView
	// Size is how many members a majority is counted over.
	Size int
}

// Find returns the view of the member at an address.
func (s *Snapshot) Find(address string) (MemberView, bool) {
	for _, m := range s.Members {
		if m.Address == address {
			return m, true
		}
	}
	return MemberView{}, false
}
