package admission

import (
	"context"
	"sync"
)

// PerMember is a Gate with separate slots for each member, so that a member that hangs or
// has a long queue does not delay requests to other members. A slot corresponds to one of
// the instance's connections to the member. How many requests are in flight at a member
// depends on its service times.
//
// Lock order: PerMember.mu, then Controller.mu. Neither is held while waiting.
type PerMember struct {
	cfg Config

	mu    sync.Mutex
	slots int
	gates map[string]*Controller
}

var _ Gate = (*PerMember)(nil)

// NewPerMember returns a PerMember with cfg.Slots slots for each member.
func NewPerMember(cfg Config) *PerMember {
	if cfg.Metrics == nil {
		cfg.Metrics = NewMetrics(nil)
	}
	return &PerMember{cfg: cfg, slots: cfg.Slots, gates: make(map[string]*Controller)}
}

// Acquire implements Gate.
func (p *PerMember) Acquire(ctx context.Context, r Request) (*Slot, error) {
	return p.gateFor(r.Member).Acquire(ctx, r)
}

// Waiting returns the number of requests that wait for a member.
func (p *PerMember) Waiting(member string) int { return p.gateFor(member).Stats().Waiting }

// SetSlots changes the number of slots of every member.
func (p *PerMember) SetSlots(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slots = n
	for _, g := range p.gates {
		g.SetSlots(n)
	}
}

func (p *PerMember) gateFor(member string) *Controller {
	p.mu.Lock()
	defer p.mu.Unlock()
	g, ok := p.gates[member]
	if !ok {
		cfg := p.cfg
		cfg.Slots = p.slots
		cfg.Adaptive = true
		cfg.Rand = forkRand(p.cfg.Rand)
		g = New(cfg)
		p.gates[member] = g
	}
	return g
}
