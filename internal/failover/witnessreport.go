package failover

import (
	"context"
	"time"

	"github.com/topazrock/topazrock/internal/clock"
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

// WitnessReport is the answer of one instance.
type WitnessReport struct {
	FailureDomain string  `json:"failure_domain"`
	Opinion       Opinion `json:"opinion"`
}

const (
	// witnessReportWait bounds the time that a witness takes to look for itself: a few
	// round trips and reports, and less than a claimer waits for its witnesses.
	witnessReportWait = 30 * time.Millisecond
	// witnessReportPause is the time between two looks at what has come.
	witnessReportPause = 3 * time.Millisecond
)

// witnessOpinion answers a question from what this instance sees, and has members asked where
// that is too old to tell. Where answers to statements stand for reports, and in a
// group that has little to do, nothing may have come from the primary for seconds: a
// claimer whose own link was cut then heard of nobody who reached it, and replaced a
// primary that served everybody else.
func witnessOpinion(ctx context.Context, k clock.Clock, v View, q Question, detect time.Duration) Opinion {
	asked := k.Now()
	rechecked := false
	for {
		s := v.Snapshot()
		o := opinionOf(k.Now(), s, v.HeardAt, q, detect)
		if o != OpinionNone || s.Term < q.Term || s.Primary == "" {
			return o
		}
		if !rechecked {
			rechecked = true
			recheck(v, s)
		}
		if k.Now().Sub(asked) >= witnessReportWait || clock.Sleep(ctx, k, witnessReportPause) != nil {
			return OpinionNone
		}
	}
}

// recheck has all members asked for their reports.
func recheck(v View, s *group.Snapshot) {
	for _, m := range s.Members {
		v.Recheck(m.Address)
	}
}

// opinionOf answers a question from a snapshot and from when members were last heard.
// An instance that has not seen the term cannot tell, and neither can one that has
// heard nothing for longer than the detection time and had no failed probe yet. One
// that hears the primary and not enough members to confirm a write by cannot either:
// it may be cut off with the primary from all the others.
func opinionOf(now time.Time, s *group.Snapshot, heardAt func(address string) time.Time, q Question, detect time.Duration) Opinion {
	if s.Term < q.Term || (s.Term == 0 && s.Primary == "") {
		return OpinionNone
	}
	m, known := s.Find(s.Primary)
	if !known || m.Failures > 0 {
		return OpinionLost
	}
	heard := func(m group.MemberView) bool {
		return m.Failing.IsZero() && now.Sub(heardAt(m.Address)) <= detect
	}
	if heard(m) && s.Enough(heard) {
		return OpinionAlive
	}
	return OpinionNone
}

// agreed reports whether more failure domains call the primary lost than alive.
// The own domain counts as lost. Of several answers of one domain an alive one
// stands: the primary is reached from there.
func agreed(own string, answers []WitnessReport) bool {
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
