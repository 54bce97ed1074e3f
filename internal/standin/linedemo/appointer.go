package linedemo

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/topazrock/topazrock/internal/logpos"
)

// appointDelay is how long the platform takes to appoint a member.
const appointDelay = 300 * time.Millisecond

// appointer appoints primaries when it is asked to.
type appointer struct {
	s *system

	mu   sync.Mutex
	term logpos.Term
	// ordered is the member that the present term was given to.
	ordered string
}

func newAppointer(s *system) *appointer {
	return &appointer{s: s, term: 1, ordered: memberID(0)}
}

// ServeHTTP implements http.Handler: the body names a member of the group.
func (a *appointer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var order struct {
		ID string `json:"Id"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := range a.s.nodes {
		if memberID(i) == order.ID && a.ordered != order.ID {
			a.term++
			a.ordered = order.ID
			term := a.term
			time.AfterFunc(appointDelay, func() { a.appoint(i, term) })
		}
	}
}

// appoint makes a member lead, and the others hear of it.
func (a *appointer) appoint(i int, term logpos.Term) {
	if a.s.nodes[i].Appoint(term) != nil {
		return
	}
	a.s.publishMember(i, true)
	for k, n := range a.s.nodes {
		if k != i {
			n.Learn(term, a.s.members[i])
			a.s.publishMember(k, false)
		}
	}
}
