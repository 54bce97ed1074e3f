package homechoice

import (
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/platform"
)

// silentAfter is how long a home may answer nothing while units are sent to it before it is tried
// last: several usual statements. A home that waits for longer with all that it was sent has no room.
const silentAfter = 150 * time.Millisecond

// Unanswered knows the homes that have answered nothing for silentAfter although units were sent to
// them. Without it, a network partition that drops packets would take each unit that was sent on an
// established connection, until one of them times out. A home that is taken for silent by mistake is
// tried last, which costs its owners openings.
type Unanswered struct {
	clock clock.Clock
	log   hclog.Logger

	mu    sync.Mutex
	homes map[string]*unansweredHome
}

// unansweredHome holds the units in flight to a home, and since when it has answered none of them.
type unansweredHome struct {
	inFlight int
	since    time.Time
	logged   bool
}

// NewUnanswered returns an Unanswered to which no unit was sent.
func NewUnanswered(k clock.Clock, log hclog.Logger) *Unanswered {
	return &Unanswered{clock: k, log: log.Named("homechoice"), homes: make(map[string]*unansweredHome)}
}

// Sent records that a unit is sent to a home. The returned function records that the home has
// answered it, or that it was given up. A failure domain of which no home answers is recorded as a
// whole: otherwise a cut would take units of each of its homes until each is known to be silent.
func (u *Unanswered) Sent(home platform.Instance) (end func(answered bool)) {
	endHome, endDomain := u.sent(home.ID), u.sent(domainKey(home))
	return func(answered bool) {
		endHome(answered)
		endDomain(answered)
	}
}

// domainKey identifies the failure domain of a home among the keys of homes.
func domainKey(home platform.Instance) string { return "failure domain " + home.FailureDomain }

func (u *Unanswered) sent(home string) (end func(answered bool)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	h := u.homes[home]
	if h == nil {
		h = &unansweredHome{}
		u.homes[home] = h
	}
	if h.inFlight == 0 {
		h.since = u.clock.Now()
	}
	h.inFlight++
	return func(answered bool) { u.ended(home, h, answered) }
}

func (u *Unanswered) ended(home string, h *unansweredHome, answered bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	h.inFlight--
	if answered {
		h.since = u.clock.Now()
	}
	if answered && h.logged {
		h.logged = false
		u.log.Info("Home answers units again.", "home", home)
	}
	if h.inFlight == 0 && !h.logged {
		delete(u.homes, home)
	}
}

// Order returns the homes with the silent ones moved to the end.
func (u *Unanswered) Order(homes []platform.Instance) []platform.Instance {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.homes) == 0 {
		return homes
	}
	oldest := u.clock.Now().Add(-silentAfter)
	ordered := slices.Clone(homes)
	slices.SortStableFunc(ordered, func(x, y platform.Instance) int { return u.rank(x, oldest) - u.rank(y, oldest) })
	return ordered
}

// rank returns 1 for a home that is silent, alone or with its failure domain, and 0 for others. It
// runs with u.mu held.
func (u *Unanswered) rank(i platform.Instance, oldest time.Time) int {
	if u.isSilent(i.ID, oldest) || u.isSilent(domainKey(i), oldest) {
		return 1
	}
	return 0
}

// isSilent reports whether a home or a failure domain is silent. It runs with u.mu held.
func (u *Unanswered) isSilent(key string, oldest time.Time) bool {
	h := u.homes[key]
	if h == nil || h.inFlight == 0 || !h.since.Before(oldest) {
		return false
	}
	if !h.logged {
		h.logged = true
		u.log.Info("Home does not answer units and is tried last.", "home", key)
	}
	return true
}
