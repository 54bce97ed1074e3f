package failover

import (
	"context"
	"time"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/logpos"
)

// PrimaryState is an instance's assessment of a group's primary.
type PrimaryState string

// States of a primary, as seen from one instance.
const (
	// PrimaryAlive: the primary of the requested term, or of a later one, answers
	// this instance.
	PrimaryAlive PrimaryState = "alive"
	// PrimaryLost: the primary does not answer this instance, or none is known.
	PrimaryLost PrimaryState = "lost"
	// PrimaryUnknown: this instance has too little current information.
	PrimaryUnknown PrimaryState = "none"
)

// WitnessRequest asks an instance for the state of a group's primary.
type WitnessRequest struct {
	Group string      `json:"group"`
	Term  logpos.Term `json:"term"`
	// Work requests a WorkReport as well. Earlier builds ignore it.
	Work bool `json:"work,omitempty"`
}

// WitnessReport is the answer of one instance to a WitnessRequest.
type WitnessReport struct {
	FailureDomain string       `json:"failure_domain"`
	Primary       PrimaryState `json:"opinion"`
	// Work is nil if it was not requested or the instance cannot tell, as earlier builds.
	Work *WorkReport `json:"work,omitempty"`
}

const (
	// recheckTimeout limits how long a witness waits for rechecked members: a few round
	// trips and reports, and less than a claimer waits for its witnesses.
	recheckTimeout = 30 * time.Millisecond
	// recheckPollInterval is the interval at which a witness checks for new answers.
	recheckPollInterval = 3 * time.Millisecond
)

// observePrimary determines the state of the primary from the view, and rechecks the
// members if their last answers are too old. Where answers to statements replace reports,
// and in groups with little traffic, this instance may have received nothing from the
// primary for seconds. Without the recheck, a claimer whose own link was cut would find no witness that
// reaches the primary, and would replace a primary that serves every other instance.
func observePrimary(ctx context.Context, clk clock.Clock, v View, request WitnessRequest, detect time.Duration) PrimaryState {
	started := clk.Now()
	rechecked := false
	for {
		s := v.Snapshot()
		state := primaryStateFrom(clk.Now(), s, v.LastAnswerAt, request, detect)
		if state != PrimaryUnknown || s.Term < request.Term || s.Primary == "" {
			return state
		}
		if !rechecked {
			rechecked = true
			recheckMembers(v, s)
		}
		if clk.Now().Sub(started) >= recheckTimeout || clock.Sleep(ctx, clk, recheckPollInterval) != nil {
			return PrimaryUnknown
		}
	}
}

// recheckMembers requests a new report from all members.
func recheckMembers(v View, s *group.Snapshot) {
	for _, m := range s.Members {
		v.Recheck(m.Address)
	}
}

// primaryStateFrom determines the state of the primary from a snapshot and the times of
// the members' last answers. The state is unknown if this instance has not seen the term,
// or if the primary's last answer is older than the detection time and no probe of it has
// failed yet. It is also unknown if the primary answers but too few members for a quorum do:
// this instance may be cut off, together with the primary, from all other members.
func primaryStateFrom(now time.Time, s *group.Snapshot, lastAnswerAt func(address string) time.Time, request WitnessRequest, detect time.Duration) PrimaryState {
	if s.Term < request.Term || (s.Term == 0 && s.Primary == "") {
		return PrimaryUnknown
	}
	m, known := s.FindMember(s.Primary)
	if !known || m.Failures > 0 {
		return PrimaryLost
	}
	answeredRecently := func(m group.MemberView) bool {
		return m.FailingSince.IsZero() && now.Sub(lastAnswerAt(m.Address)) <= detect
	}
	if answeredRecently(m) && s.IsQuorum(answeredRecently) {
		return PrimaryAlive
	}
	return PrimaryUnknown
}

// majorityReportsLoss reports whether more failure domains report the primary lost than
// alive. This instance's own domain starts as lost. If instances of a domain disagree,
// the domain counts as alive, because the primary can be reached from it.
func majorityReportsLoss(ownDomain string, reports []WitnessReport) bool {
	domains := map[string]PrimaryState{ownDomain: PrimaryLost}
	for _, report := range reports {
		if report.Primary == PrimaryUnknown || domains[report.FailureDomain] == PrimaryAlive {
			continue
		}
		domains[report.FailureDomain] = report.Primary
	}
	lost, alive := 0, 0
	for _, state := range domains {
		if state == PrimaryAlive {
			alive++
		} else {
			lost++
		}
	}
	return lost > alive
}
