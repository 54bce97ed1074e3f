package failover

import (
	"time"

	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/logpos"
)

// Opinion is what an instance holds of a group's primary.
type Opinion string

// Opinions.
const (
	// OpinionAlive: the primary of the term asked about, or of a later one,
	// answers here.
	OpinionAlive Opinion = "alive"
	// OpinionLost: it does not answer here, or none is known.
	OpinionLost Opinion = "lost"
	// OpinionNone: this instance cannot tell.
	OpinionNone Opinion = "none"
)

// Question asks an instance about a group's primary.
type Question struct {
	Group string      `json:"group"`
	Term  logpos.Term `json:"term"`
}

// Testimony is the answer of one instance.
type Testimony struct {
	FailureDomain string  `json:"failure_domain"`
	Opinion       Opinion `json:"opinion"`
}

// opinionOf answers a question from a snapshot. An instance that has not seen
// the term cannot tell, and neither can one that has had no report for longer
// than the detection time and no failed probe yet.
func opinionOf(now time.Time, s *group.Snapshot, q Question, detect time.Duration) Opinion {
	if s.Term < q.Term || (s.Term == 0 && s.Primary == "") {
		return OpinionNone
	}
	m, known := s.Find(s.Primary)
	switch {
	case !known || m.Failures > 0:
		return OpinionLost
	case now.Sub(m.SeenAt) <= detect:
		return OpinionAlive
	default:
		return OpinionNone
	}
}

// agreed reports whether more failure domains call the primary lost than alive.
// The own domain counts as lost. Of several answers of one domain an alive one
// stands: the primary is reached from there.
func agreed(own string, answers []Testimony) bool {
	domains := map[string]Opinion{own: OpinionLost}
	for _, a := range answers {
		if a.Opinion == OpinionNone || domains[a.FailureDomain] == OpinionAlive {
			continue
		}
		domains[a.FailureDomain] = a.Opinion
	}
	lost, alive := 0, 0
	for _, o := range domains {
		if o == OpinionAlive {
			alive++
		} else {
			lost++
		}
	}
	return lost > alive
}
