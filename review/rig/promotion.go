package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// promotionCall is one call that the platform received.
type promotionCall struct {
	at      time.Time
	holder  string
	fence   uint64
	service string
	member  string
}

// promotionService is the platform's call that appoints primaries. It does not check the fence.
type promotionService struct {
	record *record
	groups []*group
	// delay is the time from the call until the member leads.
	delay time.Duration

	mu    sync.Mutex
	calls []promotionCall
}

func (p *promotionService) serve(address string) error {
	l, err := listen(address)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(l, p) }()
	return nil
}

// ServeHTTP implements http.Handler.
func (p *promotionService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/promotion" {
		http.NotFound(w, r)
		return
	}
	var body struct{ Service, Id string }
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	fence, _ := strconv.ParseUint(r.Header.Get("Fence-Token"), 10, 64)
	c := promotionCall{at: time.Now(), holder: r.Header.Get("Lease-Holder"), fence: fence, service: body.Service, member: body.Id}
	p.mu.Lock()
	p.calls = append(p.calls, c)
	p.mu.Unlock()
	status := http.StatusConflict
	for _, g := range p.groups {
		if g.name == body.Service {
			status = g.startPromotion(body.Id, p.delay)
		}
	}
	p.record.add("platform", "POST /promotion Service=%s Id=%s Lease-Holder=%s Fence-Token=%d -> %d", c.service, c.member, c.holder, c.fence, status)
	w.WriteHeader(status)
}

// received returns the calls for a service, in the order in which they arrived.
func (p *promotionService) received(service string) []promotionCall {
	p.mu.Lock()
	defer p.mu.Unlock()
	var calls []promotionCall
	for _, c := range p.calls {
		if c.service == service {
			calls = append(calls, c)
		}
	}
	return calls
}
