package membership

import (
	"context"
	"encoding/json"
	"time"

	"github.com/topazrock/topazrock/internal/result"
)

func (m *Members) registerHandlers() {
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
		case m.changeNotified <- struct{}{}:
		default:
		}
		return changedParams{}, nil
	})
}

func (m *Members) answerPull(p pullParams) pullReply {
	m.mu.Lock()
	current := m.list
	m.mu.Unlock()
	if current.readAt.IsZero() {
		return pullReply{NoList: true}
	}
	r := pullReply{AgeMS: m.options.Clock.Now().Sub(current.readAt).Milliseconds(), Same: current.checksum == p.Checksum}
	if r.Same || len(p.PartChecksums) != partCount {
		return r
	}
	differs := make(map[int]bool)
	for part, sum := range p.PartChecksums {
		if sum != current.partChecksums[part] {
			differs[part] = true
			r.Parts = append(r.Parts, part)
		}
	}
	for _, i := range current.instances {
		if differs[partIndex(i.ID)] {
			r.Instances = append(r.Instances, i)
		}
	}
	r.Leaving = current.leaving
	return r
}

// listAge returns the time since the platform returned the list in use, or false if there is no
// list.
func (m *Members) listAge() (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.options.Clock.Now().Sub(m.list.readAt), !m.list.readAt.IsZero()
}
