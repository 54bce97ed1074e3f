package quota

import (
	"strconv"
	"time"
)

// usesRanks reports whether more urgent operations get tokens first.
func (g *Guard) usesRanks() bool { return g.Ranked != nil && g.Ranked() }

// rankOf returns the rank of a class's operations; LeastUrgent if the class is not known, or if
// ranks are not used.
func (g *Guard) rankOf(group, class string) Rank {
	if !g.usesRanks() {
		return LeastUrgent
	}
	if rank := g.RankOf(group, class); rank.valid() {
		return rank
	}
	return LeastUrgent
}

// stateRanks adds a workspace's counts by rank to a request, if ranks are used.
func (g *Guard) stateRanks(field *map[string]map[Rank]int, name string, counts rankCounts) {
	if !g.usesRanks() {
		return
	}
	if *field == nil {
		*field = make(map[string]map[Rank]int)
	}
	(*field)[name] = counts.toMap()
}

// countToken counts a token that an operation took.
func (g *Guard) countToken(source string, rank Rank) {
	g.Metrics.tokens.WithLabelValues(source).Inc()
	if g.usesRanks() {
		g.Metrics.tokensByRank.WithLabelValues(strconv.Itoa(int(rank))).Inc()
	}
}

// countRefusal counts a refused operation.
func (g *Guard) countRefusal(code string, rank Rank) {
	g.Metrics.refusals.WithLabelValues(code).Inc()
	if g.usesRanks() {
		g.Metrics.refusalsByRank.WithLabelValues(strconv.Itoa(int(rank))).Inc()
	}
}

// recordLimited records a refusal at a workspace's limit, and logs the first of a series.
func (g *Guard) recordLimited(name string, rank Rank) {
	if !g.usesRanks() {
		return
	}
	now := g.Clock.Now()
	g.mu.Lock()
	begins := g.accountOf(name, now).limited.recordRefusal(rank, now)
	g.mu.Unlock()
	if begins {
		g.Logger.Info("Workspace reached its limit.", "workspace", name, "rank", int(rank))
	}
}

// logEndedPeriods logs the workspaces that are below their limits again.
func (g *Guard) logEndedPeriods() {
	now := g.Clock.Now()
	ended := make(map[string]limitedPeriod)
	g.mu.Lock()
	for name, a := range g.accounts {
		if p, isOver := a.limited.end(now); isOver {
			ended[name] = p
		}
	}
	g.mu.Unlock()
	for name, p := range ended {
		g.Logger.Info("Workspace is below its limit again.", "workspace", name,
			"duration", p.lastRefusalAt.Sub(p.beganAt).String(), "refused", p.refused.total(), "refused_by_rank", p.refusedByRank())
	}
}

// invalidRanksLogInterval is the time between two log lines about wrong counts by rank. A faulty
// instance sends them with each operation.
const invalidRanksLogInterval = 10 * time.Second

// recordInvalidRanks counts a request whose counts by rank were wrong.
func (g *Guard) recordInvalidRanks(instance string) {
	g.Metrics.invalidRanks.Inc()
	now := g.Clock.Now()
	g.mu.Lock()
	due := !now.Before(g.logInvalidRanksAt)
	if due {
		g.logInvalidRanksAt = now.Add(invalidRanksLogInterval)
	}
	g.mu.Unlock()
	if due {
		g.Logger.Warn("Request with wrong counts by rank; the counts were ignored.", "sender", instance)
	}
}
