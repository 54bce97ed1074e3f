package admission

import (
	"context"
	"sync"
)

// PerMember is a Gate whose slots belong to one member each, so that a member that
// hangs or has a long queue holds up nothing that runs elsewhere. A slot stands for
// one of the instance's connections to the member. How many of them are at work at once
// follows from how long the member's answers take.
//
// Lock order: PerMember.mu, then a Controller's; neither is held across a wait.
type PerMember struct {
	cfg Config

	mu    sync.Mutex
	slots int
	gates map[string]*Controller
}

var _ Gate = (*PerMember)(nil)

// NewPerMember returns a PerMember that has cfg.Slots for each member.
func NewPerMember(cfg Config) *PerMember {
	if cfg.Metrics == nil {
		cfg.Metrics = NewMetrics(nil)
	}
	return &PerMember{cfg: cfg, slots: cfg.Slots, gates: make(map[string]*Controller)}
}

// Enter implements Gate.
func (p *PerMember) Enter(ctx context.Context, r Request) (*Slot, error) {
	return p.gate(r.Member).Enter(ctx, r)
}

// Waiting returns how many requests wait for a member.
func (p *PerMember) Waiting(member string) int { return p.gate(member).Stats().Waiting }

// SetSlots changes the number of slots of each member.
func (p *PerMember) SetSlots(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slots = n
	for _, g := range p.gates {
		g.SetSlots(n)
	}
}

func (p *PerMember) gate(member string) *Controller {
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
