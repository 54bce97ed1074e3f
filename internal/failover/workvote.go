package failover

// workVote counts the failure domains by what they report of a primary's work.
type workVote struct {
	failing, serving int
	// domains is the number of failure domains with homes of the group.
	domains int
}

// minFailingDomains is how many failure domains must report the primary as failing if as many have
// homes. A failed link or a fault of one domain is seen by that domain alone.
const minFailingDomains = 2

// agrees reports whether enough failure domains report the primary as failing.
func (v workVote) agrees() bool {
	return v.failing > v.serving && v.failing >= min(minFailingDomains, v.domains)
}

// workVotes collects the states of the failure domains.
type workVotes map[string]WorkState

// add adds a report. If instances of a domain disagree, the domain counts as served.
func (v workVotes) add(domain string, state WorkState) {
	if state == WorkUnknown || v[domain] == WorkServing {
		return
	}
	v[domain] = state
}

func (v workVotes) count(domains int) workVote {
	vote := workVote{domains: max(domains, 1)}
	for _, state := range v {
		switch state {
		case WorkFailing:
			vote.failing++
		case WorkServing:
			vote.serving++
		}
	}
	return vote
}
