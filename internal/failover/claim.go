package failover

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/platform"
)

// claim is a term that the platform gave to this instance.
type claim struct {
	record  Record
	version int64
	// sent is when the claim was first sent; nobody can have read it before.
	sent time.Time
}

// rival is another instance's claim of a term that has no primary yet.
type rival struct {
	claim string
	// until is when the claim's time is over.
	until time.Time
}

// claim asks the platform for the next term.
func (g *guard) claim(ctx context.Context, s *group.Snapshot, v verdict) (claim, error) {
	current, version, err := g.read(ctx)
	if err != nil {
		return claim{}, err
	}
	if g.open(current, s) && !g.expired(current, s) {
		return claim{}, ErrRivalClaim
	}
	// The witnesses and the platform took their time, or this process was
	// paused meanwhile. A claim on an old suspicion would depose a primary that
	// is back; look once more right before it.
	if !g.stands(s, v) {
		return claim{}, errRecovered
	}
	next := Record{Term: g.nextTerm(current, s), Number: current.Number + 1, Claim: g.newID(), Claimer: g.c.Self.ID, Cause: v.cause}
	won, err := g.put(ctx, next, version)
	if err == nil && !g.stands(s, v) {
		return claim{}, errRecovered
	}
	return won, err
}

// open reports whether a claim may still come to a primary. Where members number the terms
// themselves, they enter the claimed one before somebody leads in it, so that only a
// primary's own report ends the claim.
func (g *guard) open(r Record, s *group.Snapshot) bool {
	if g.c.MembersNumberTerms {
		return r.Term > s.Led
	}
	return r.Term > s.Term
}

// nextTerm is the term to claim. Where members number the terms themselves, a
// promotion leads to the one behind the highest they know, whatever was claimed:
// a claim that came to nothing leaves no gap, and its term is claimed again.
func (g *guard) nextTerm(current Record, s *group.Snapshot) logpos.Term {
	if g.c.MembersNumberTerms {
		return s.Led + 1
	}
	return max(current.Term, s.Term) + 1
}

// read returns the group's record and the version of its object, both zero if
// there is none yet.
func (g *guard) read(ctx context.Context) (Record, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, g.c.Settings.Platform)
	defer cancel()
	o, err := g.c.Platform.Get(ctx, platform.KindGroup, g.c.Group)
	if errors.Is(err, platform.ErrNotFound) {
		return Record{}, 0, nil
	}
	if err != nil {
		return Record{}, 0, err
	}
	r, err := decodeRecord(o.Value)
	return r, o.Version, err
}

// expired reports whether a claimed term had its time to get a primary. The
// time runs from when this instance first read the claim: no two clocks meet.
func (g *guard) expired(r Record, s *group.Snapshot) bool {
	now := g.c.Clock.Now()
	if g.rival.claim != r.Claim {
		wait := g.suspicion.takeover() + time.Duration(g.c.rank(s))*g.c.Settings.Stagger
		g.rival = rival{claim: r.Claim, until: now.Add(wait)}
	}
	return !now.Before(g.rival.until)
}

// stands reports whether the reason for a claim is still there.
func (g *guard) stands(s *group.Snapshot, v verdict) bool {
	now := g.c.View.Snapshot()
	return now.Term == s.Term && g.suspicion.causeOf(now) == v.cause
}

// newID names a claim. The instance's ID keeps two instances apart, the random
// part two claims of one instance, also across its restart.
func (g *guard) newID() string {
	return fmt.Sprintf("%s/%016x%016x", g.c.Self.ID, g.c.Rand.Uint64(), g.c.Rand.Uint64())
}

// put stores the claim. An answer that was lost is settled by the claim's ID:
// after it, the object either holds this claim, or another one, or is as it
// was. In the last case the same update is sent again; if the first is still on
// its way, the version lets only one of the two take effect.
func (g *guard) put(ctx context.Context, r Record, version int64) (claim, error) {
	value, err := r.encode()
	if err != nil {
		return claim{}, err
	}
	unsettled, sent := false, g.c.Clock.Now()
	for {
		o, err := g.putOnce(ctx, value, version)
		switch {
		case err == nil:
			return claim{record: r, version: o.Version, sent: sent}, nil
		case errors.Is(err, platform.ErrConflict):
		case errors.Is(err, platform.ErrUnavailable) && !unsettled:
			return claim{}, err
		default:
			unsettled = true
		}
		current, at, err := g.readAgain(ctx)
		switch {
		case err != nil:
			return claim{}, err
		case current.Claim == r.Claim:
			return claim{record: r, version: at, sent: sent}, nil
		case at != version:
			return claim{}, ErrLostClaim
		}
	}
}

func (g *guard) putOnce(ctx context.Context, value []byte, version int64) (platform.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, g.c.Settings.Platform)
	defer cancel()
	return g.c.Platform.Put(ctx, platform.KindGroup, g.c.Group, value, version)
}

// readAgain reads until the platform answers or ctx ends.
func (g *guard) readAgain(ctx context.Context) (Record, int64, error) {
	for {
		r, version, err := g.read(ctx)
		if err == nil || errors.Is(err, ErrBadRecord) {
			return r, version, err
		}
		g.c.pause(ctx, g.backoff.next(), nil)
		if ctx.Err() != nil {
			return Record{}, 0, ctx.Err()
		}
	}
}
