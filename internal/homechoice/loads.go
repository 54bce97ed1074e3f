package homechoice

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/platform"
)

const (
	// loadReportTTL is how long a report of a home's load is used. It bounds the time in which units
	// go to a home that has frozen, restarted or been cut off since.
	loadReportTTL = time.Second
	// remoteCandidates is how many homes of other failure domains are compared for one unit. Instances
	// that compared all would send their units to the same home at once.
	remoteCandidates = 2
	// queryAbove is the cost of the best known home above which a unit is sent to a home whose load
	// is not known: several hops, and less than a usual statement.
	queryAbove = 10 * time.Millisecond
	// maxLoads bounds the loads that are kept.
	maxLoads = 10000
)

// Loads chooses homes for units by the loads that the homes report with their replies. A home whose
// load is not known gets one unit a second while the others are busy, to learn it.
//
// Its state is memory of the process. The report of a home that has frozen, restarted or been cut off
// sends units there for loadReportTTL at most. Loads.mu is held with no other lock.
type Loads struct {
	self    platform.Instance
	clock   clock.Clock
	log     hclog.Logger
	metrics *Metrics

	mu     sync.Mutex
	random *rand.Rand
	loads  map[LoadKey]map[string]*homeLoad
	hops   hopTimes
	// badReports holds the homes whose last report was bad.
	badReports map[string]bool
}

// LoadKey names the units that a report is about.
type LoadKey struct {
	Group, Class string
	ReadOnly     bool
}

// homeLoad is what is known about one home.
type homeLoad struct {
	report     execution.LoadReport
	reportedAt time.Time
	// sent is how many units were sent to the home since the report.
	sent int
	// queriedAt is when a unit was last sent without a report.
	queriedAt time.Time
}

// NewLoads returns the Loads of the instance self, which knows nothing. random must not be used
// elsewhere.
func NewLoads(self platform.Instance, k clock.Clock, random *rand.Rand, log hclog.Logger, m *Metrics) *Loads {
	return &Loads{self: self, clock: k, random: random, log: log.Named("homechoice"), metrics: m,
		loads: make(map[LoadKey]map[string]*homeLoad), badReports: make(map[string]bool)}
}

// Order returns the homes with the one first that is expected to serve a unit first. homes are in the
// order in which they would be tried otherwise, which is kept if the load of the first is not known.
func (l *Loads) Order(key LoadKey, homes []platform.Instance) []platform.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(homes) < 2 {
		return homes
	}
	now := l.clock.Now()
	best, known := l.cost(key, homes[0], now)
	if !known {
		return homes
	}
	chosen, unknown := homes[0], platform.Instance{}
	for _, home := range l.candidates(homes) {
		cost, known := l.cost(key, home, now)
		switch {
		case known && cost < best:
			best, chosen = cost, home
		case !known && unknown.ID == "" && l.mayQuery(key, home, now):
			unknown = home
		}
	}
	if best > queryAbove && unknown.ID != "" {
		l.load(key, unknown).queriedAt = now
		chosen = unknown
	}
	if chosen.ID == homes[0].ID {
		return homes
	}
	l.metrics.countBalanced(key.Group, l.isNear(chosen))
	at := slices.IndexFunc(homes, func(i platform.Instance) bool { return i.ID == chosen.ID })
	return slices.Insert(slices.Delete(slices.Clone(homes), at, at+1), 0, chosen)
}

// candidates returns the homes that are compared with the first one: those of the own failure domain and
// remoteCandidates random others.
func (l *Loads) candidates(homes []platform.Instance) []platform.Instance {
	var local, remote []platform.Instance
	for _, home := range homes[1:] {
		switch {
		case home.ID == l.self.ID:
		case l.isNear(home):
			local = append(local, home)
		default:
			remote = append(remote, home)
		}
	}
	l.random.Shuffle(len(remote), func(i, j int) { remote[i], remote[j] = remote[j], remote[i] })
	return append(local, remote[:min(remoteCandidates, len(remote))]...)
}

func (l *Loads) isNear(i platform.Instance) bool { return i.FailureDomain == l.self.FailureDomain }

// cost returns the expected wait for a home and the hop to it, or false if its load is not known.
func (l *Loads) cost(key LoadKey, home platform.Instance, now time.Time) (time.Duration, bool) {
	h := l.loads[key][home.ID]
	if h == nil || h.reportedAt.IsZero() || now.Sub(h.reportedAt) > loadReportTTL {
		return 0, false
	}
	cost := h.report.Wait + time.Duration(max(h.sent-h.report.Free+1, 0))*h.report.Step
	if !l.isNear(home) {
		cost += l.hops.additional()
	}
	return cost, true
}

// mayQuery reports whether a unit may go to a home whose load is not known.
func (l *Loads) mayQuery(key LoadKey, home platform.Instance, now time.Time) bool {
	h := l.loads[key][home.ID]
	return h == nil || now.Sub(h.queriedAt) > loadReportTTL
}

// load returns the load of a home and creates it on first use.
func (l *Loads) load(key LoadKey, home platform.Instance) *homeLoad {
	homes := l.loads[key]
	if homes == nil {
		if len(l.loads) >= maxLoads {
			clear(l.loads)
		}
		homes = make(map[string]*homeLoad)
		l.loads[key] = homes
	}
	h := homes[home.ID]
	if h == nil {
		h = &homeLoad{}
		homes[home.ID] = h
	}
	return h
}

// Sent records that a unit is sent to a home.
func (l *Loads) Sent(key LoadKey, home platform.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.load(key, home).sent++
}

// Served records the report of a home that has served a unit within elapsed. report is nil if it made none.
func (l *Loads) Served(key LoadKey, home platform.Instance, report *execution.LoadReport, elapsed time.Duration) {
	if report == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !report.IsValid() || !l.hops.record(l.isNear(home), elapsed, report.Spent) {
		l.rejectReport(home)
		return
	}
	delete(l.badReports, home.ID)
	h := l.load(key, home)
	h.report, h.reportedAt, h.sent = *report, l.clock.Now(), 0
}

// Refused records that a home had no room for a unit that had timeLeft.
func (l *Loads) Refused(key LoadKey, home platform.Instance, timeLeft time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.load(key, home)
	h.report.Free, h.report.Wait = 0, max(h.report.Wait, timeLeft)
	h.reportedAt, h.sent = l.clock.Now(), 0
}

// rejectReport counts a bad report, and logs the first one of a home. It runs with l.mu held.
func (l *Loads) rejectReport(home platform.Instance) {
	l.metrics.countBadReport()
	if l.badReports[home.ID] || len(l.badReports) >= maxLoads {
		return
	}
	l.badReports[home.ID] = true
	l.log.Warn("Home reports an impossible load; it is ignored.", "home", home.ID)
}
