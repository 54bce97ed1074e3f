package memberhealth

// mayEject reports whether the group can do without a member. Another member must be able to serve.
// Members that still serve some of their statements are ejected only up to a minority of the group;
// one that serves nothing costs the group no capacity. If all other members fail as well, the cause
// is not the member.
func (t *Tracker) mayEject(address string, r *record) bool {
	s := t.cfg.Snapshot()
	able, ejected, failing := 0, 0, 0
	for _, m := range s.Members {
		other := t.records[m.Address]
		switch {
		case m.Address == address:
		case other != nil && other.state != Healthy:
			ejected++
		case m.Leaving || !m.FailingSince.IsZero():
		default:
			able++
			if other != nil && other.score >= ejectScore/2 {
				failing++
			}
		}
	}
	if able == 0 || failing == able {
		t.cfg.Metrics.countKept(t.cfg.Group)
		return false
	}
	return ejected+1 <= (len(s.Members)-1)/2 || r.servesNothing()
}
