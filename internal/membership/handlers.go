package membership

import (
	"context"
	"encoding/json"
	"time"

	"github.com/topazrock/topazrock/internal/result"
)

func (m *Members) register() {
	if m.options.Registry == nil {
		return
	}
	m.options.Registry.Handle(methodPull, func(_ context.Context, _ string, raw json.RawMessage) (any, error) {
		var p pullParams
		if err := json.Unmarshal(raw, &p); err != nil {
			return nil, result.New(result.BadAdminRequest, "malformed parameters").WithCause(err)
		}
		return m.answerPull(p), nil
	})
	m.options.Registry.Handle(methodChanged, func(context.Context, string, json.RawMessage) (any, error) {
		select {
		case m.wake <- struct{}{}:
		default:
		}
		return changedParams{}, nil
	})
}

func (m *Members) answerPull(p pullParams) pullReply {
	m.mu.Lock()
	held := m.held
	m.mu.Unlock()
	if held.readAt.IsZero() {
		return pullReply{None: true}
	}
	r := pullReply{AgeMS: m.options.Clock.Now().Sub(held.readAt).Milliseconds(), Same: held.root == p.Root}
	if r.Same || len(p.Sums) != partCount {
		return r
	}
	differs := make(map[int]bool)
	for part, sum := range p.Sums {
		if sum != held.sums[part] {
			differs[part] = true
			r.Parts = append(r.Parts, part)
		}
	}
	for _, i := range held.instances {
		if differs[partOf(i.ID)] {
			r.Instances = append(r.Instances, i)
		}
	}
	r.Leaving = held.leaving
	return r
}

// age returns how long ago the platform gave the list in use; false when there
// is none.
func (m *Members) age() (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.options.Clock.Now().Sub(m.held.readAt), !m.held.readAt.IsZero()
}
