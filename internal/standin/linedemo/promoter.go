package linedemo

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/topazrock/topazrock/internal/logpos"
)

// promotionDelay is the simulated time that the platform takes to promote a member.
const promotionDelay = 300 * time.Millisecond

// promoter is the platform's promotion endpoint: it promotes members on request.
type promoter struct {
	system *system

	mu   sync.Mutex
	term logpos.Term
	// primaryID is the member that the current term was assigned to.
	primaryID string
}

func newPromoter(s *system) *promoter {
	return &promoter{system: s, term: 1, primaryID: memberID(0)}
}

// ServeHTTP implements http.Handler. The request body contains the ID of the member to
// promote.
func (p *promoter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var request struct {
		ID string `json:"Id"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.system.nodes {
		if memberID(i) == request.ID && p.primaryID != request.ID {
			p.term++
			p.primaryID = request.ID
			term := p.term
			time.AfterFunc(promotionDelay, func() { p.promoteMember(i, term) })
		}
	}
}

// promoteMember makes a member the primary, notifies the other members and publishes
// the new roles.
func (p *promoter) promoteMember(i int, term logpos.Term) {
	if p.system.nodes[i].PromoteInTerm(term) != nil {
		return
	}
	p.system.publishMember(i, true)
	for k, n := range p.system.nodes {
		if k != i {
			n.SetPrimary(term, p.system.members[i])
			p.system.publishMember(k, false)
		}
	}
}
