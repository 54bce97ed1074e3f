package homechoice

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/platform"
)

const (
	// minChoiceTime is how long a choice is kept before reports may change it, so that all
	// instances have moved before the result of the move is judged.
	minChoiceTime = 5 * time.Second
	// reportTTL is how long a report is used. An owner with fewer units keeps no connection open
	// in each failure domain, so it uses the shared home again.
	reportTTL = 15 * time.Second
	// refusedFor is how long an owner's units stay near after the shared home had no room for one
	// or is of a build that reports nothing.
	refusedFor = 5 * time.Second
	// maxChoices bounds the owners for which choices are kept; the others use the shared home.
	maxChoices = 8192
)

// Reason is why a home was chosen. It is a metric label.
type Reason string

// Reasons.
const (
	// ReasonShared: all failure domains send the owner's units to one home.
	ReasonShared Reason = "shared"
	// ReasonLarge: the owner keeps connections in use in each failure domain.
	ReasonLarge Reason = "large"
	// ReasonRefused: the shared home had no room or reports nothing.
	ReasonRefused Reason = "refused"
	// ReasonUnreachable: the shared home does not answer or is shutting down.
	ReasonUnreachable Reason = "unreachable"
)

// Affinity chooses homes for units that may run only on connections of one owner. One home serves
// the units of a small owner for all failure domains, because a connection that is opened costs more
// than a hop. A large owner is served by a home in each failure domain.
//
// Each instance decides by the reports of the homes that served its own units. What it knows is lost
// with the process; then it starts with the shared home. Instances that disagree, and reports that
// are old or wrong, cost hops and openings and never an answer: every home serves every owner.
type Affinity struct {
	self    platform.Instance
	clock   clock.Clock
	log     hclog.Logger
	metrics *Metrics

	mu      sync.Mutex
	choices map[ownerKey]*ownerChoice
	hops    hopTimes
	// badReports holds the homes whose last report was bad.
	badReports map[string]bool
}

type ownerKey struct{ group, owner string }

// ownerChoice is the choice for one owner.
type ownerChoice struct {
	near         bool
	changedAt    time.Time
	reportedAt   time.Time
	refusedUntil time.Time
}

// NewAffinity returns an Affinity of the instance self that knows nothing.
func NewAffinity(self platform.Instance, k clock.Clock, log hclog.Logger, m *Metrics) *Affinity {
	return &Affinity{self: self, clock: k, log: log.Named("homechoice"), metrics: m, choices: make(map[ownerKey]*ownerChoice), badReports: make(map[string]bool)}
}

// Order returns the homes in the order in which they are to be tried for a unit of the owner: the
// chosen one, then those of this instance's failure domain, then the others.
func (a *Affinity) Order(group, owner string, homes []platform.Instance) ([]platform.Instance, Reason) {
	ordered := a.nearestFirst(owner, homes)
	reason := a.reason(ownerKey{group, owner})
	if reason != ReasonShared || len(ordered) == 0 {
		return ordered, reason
	}
	shared := slices.IndexFunc(ordered, func(i platform.Instance) bool { return i.ID == sharedHome(owner, homes) })
	chosen := ordered[shared]
	return slices.Insert(slices.Delete(ordered, shared, shared+1), 0, chosen), reason
}

func ownerScore(owner string, i platform.Instance) uint64 {
	return xxhash.Sum64String(owner + "\x00" + i.ID)
}

// sharedHome returns the ID of the home that serves a small owner for all failure domains.
func sharedHome(owner string, homes []platform.Instance) string {
	if len(homes) == 0 {
		return ""
	}
	return slices.MaxFunc(homes, func(x, y platform.Instance) int { return cmp.Compare(ownerScore(owner, x), ownerScore(owner, y)) }).ID
}

// nearestFirst returns a copy in which the homes of this instance's failure domain come first, each
// part ordered by the owner's hash.
func (a *Affinity) nearestFirst(owner string, homes []platform.Instance) []platform.Instance {
	ordered := slices.Clone(homes)
	distance := func(i platform.Instance) int {
		if i.FailureDomain == a.self.FailureDomain {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(ordered, func(x, y platform.Instance) int {
		return cmp.Or(distance(x)-distance(y), cmp.Compare(ownerScore(owner, y), ownerScore(owner, x)))
	})
	return ordered
}

// IsNear reports whether a home is in this instance's failure domain.
func (a *Affinity) IsNear(home platform.Instance) bool {
	return home.ID == a.self.ID || home.FailureDomain == a.self.FailureDomain
}

// reason returns where the owner's units go and why.
func (a *Affinity) reason(key ownerKey) Reason {
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.choices[key]
	switch {
	case c == nil:
		return ReasonShared
	case now.Before(c.refusedUntil):
		return ReasonRefused
	case c.near && now.Sub(c.reportedAt) <= reportTTL:
		return ReasonLarge
	default:
		return ReasonShared
	}
}

// Served records that a home has served a unit of the owner within elapsed. homes are those of which
// the home was chosen.
func (a *Affinity) Served(group, owner string, home platform.Instance, homes []platform.Instance, report *execution.HomeReport, elapsed time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if report == nil {
		a.stayNear(ownerKey{group, owner}, a.clock.Now())
		return
	}
	if !report.IsValid() || home.ID != a.self.ID && !a.hops.record(home.FailureDomain == a.self.FailureDomain, elapsed, report.Spent) {
		a.rejectReport(home)
		return
	}
	delete(a.badReports, home.ID)
	a.decide(ownerKey{group, owner}, home, homes, *report)
}

// rejectReport counts a bad report, and logs the first one of a home. It runs with a.mu held.
func (a *Affinity) rejectReport(home platform.Instance) {
	a.metrics.countBadReport()
	if a.badReports[home.ID] || len(a.badReports) >= maxChoices {
		return
	}
	a.badReports[home.ID] = true
	a.log.Warn("Home sends reports with impossible values; they are ignored.", "home", home.ID)
}

// decide updates the choice for an owner by a valid report. It runs with a.mu held.
func (a *Affinity) decide(key ownerKey, home platform.Instance, homes []platform.Instance, report execution.HomeReport) {
	rate := report.OwnerRate
	switch {
	case home.ID == sharedHome(key.owner, homes):
		rate /= float64(countDomains(homes))
	case home.FailureDomain != a.self.FailureDomain:
		return
	}
	now := a.clock.Now()
	c := a.choice(key)
	if c == nil {
		return
	}
	c.reportedAt = now
	if now.Sub(c.changedAt) < minChoiceTime {
		return
	}
	benefit := nearBenefit(rate, report, a.hops.additional())
	if near := benefit > 1 || c.near && benefit > returnFactor; near != c.near {
		c.near, c.changedAt = near, now
		a.metrics.countMove(key.group, near)
		a.log.Debug("Owner's units go to other homes.", "group", key.group, "owner", key.owner, "near", near)
	}
}

// Refused records that a home had no room for a unit of the owner, or does not report.
func (a *Affinity) Refused(group, owner string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stayNear(ownerKey{group, owner}, a.clock.Now())
}

// stayNear keeps an owner's units in this instance's failure domain for a while. It runs with a.mu
// held.
func (a *Affinity) stayNear(key ownerKey, now time.Time) {
	if c := a.choice(key); c != nil {
		c.refusedUntil = now.Add(refusedFor)
	}
}

// choice returns the choice for an owner; nil if too many are kept. It runs with a.mu held.
func (a *Affinity) choice(key ownerKey) *ownerChoice {
	c := a.choices[key]
	if c == nil && len(a.choices) >= maxChoices {
		a.removeExpired()
	}
	if c == nil && len(a.choices) < maxChoices {
		c = &ownerChoice{}
		a.choices[key] = c
	}
	return c
}

func (a *Affinity) removeExpired() {
	now := a.clock.Now()
	for key, c := range a.choices {
		if now.Sub(c.reportedAt) > reportTTL && now.After(c.refusedUntil) {
			delete(a.choices, key)
		}
	}
}

func countDomains(homes []platform.Instance) int {
	domains := make(map[string]bool)
	for _, i := range homes {
		domains[i.FailureDomain] = true
	}
	return len(domains)
}
