package executor

import (
	"time"

	"github.com/topazrock/topazrock/internal/admission"
	"github.com/topazrock/topazrock/internal/document"
	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/result"
)

// maxKeyLength bounds a request key, in bytes.
const maxKeyLength = 200

// Priorities of units that name no class.
const (
	priorityTransaction = 1
	priorityUntagged    = 5
)

// classUntagged is the class label of units that name no class.
const classUntagged = "untagged"

// plan is what the service document asks for one unit.
type plan struct {
	class  string
	read   bool
	maxAge time.Duration
	// fresh says that reads need the primary itself, proved not to be replaced.
	fresh      bool
	atMostOnce bool
	priority   int
	maxQueue   int
	timeout    time.Duration
	objective  time.Duration
	// wantedBy is when the objective is over, counted from the unit's arrival; zero
	// where the class has none.
	wantedBy time.Time
	limits   document.Limits
}

// newPlan looks the unit's class up in the document. A unit without a class is
// taken for a write that may not be repeated.
func newPlan(s *document.Service, u *execution.Unit) (plan, error) {
	p := plan{
		class:    classUntagged,
		priority: priorityUntagged,
		maxQueue: s.Limits.MaxQueue,
		timeout:  s.Limits.RequestTimeout,
		limits:   s.Limits,
	}
	if u.Class == "" {
		return p, nil
	}
	p.class = u.Class
	if r, ok := s.FindRead(u.Class); ok {
		p.read = !r.Writes || u.OnlyReads()
		p.maxAge = r.MaxAge
		p.fresh = r.Primary
		p.objective = r.Objective
		p.override(r.Priority, r.MaxQueue, r.Timeout)
		return p, nil
	}
	w, ok := s.FindWrite(u.Class)
	if !ok {
		return plan{}, result.New(result.UnknownClass, "%q", u.Class)
	}
	// Preparing or describing a request does not run it and must not use up its key.
	p.atMostOnce = w.AtMostOnce && u.Runs()
	p.override(w.Priority, w.MaxQueue, w.Timeout)
	return p, p.checkKey(u)
}

func (p *plan) override(priority, maxQueue int, timeout time.Duration) {
	if priority > 0 {
		p.priority = priority
	}
	if maxQueue > 0 {
		p.maxQueue = maxQueue
	}
	if timeout > 0 {
		p.timeout = timeout
	}
}

func (p *plan) checkKey(u *execution.Unit) error {
	if len(u.Key) > maxKeyLength {
		return result.New(result.KeyTooLong, "%d bytes, at most %d", len(u.Key), maxKeyLength)
	}
	if p.atMostOnce && u.Key == "" {
		return result.New(result.KeyRequired, "class %q", u.Class)
	}
	return nil
}

// keyed reports whether the request's key row goes into its transaction.
func (p *plan) keyed(u *execution.Unit) bool { return p.atMostOnce && u.Key != "" }

// atPrimary reports whether the unit has to run at the primary.
func (p *plan) atPrimary() bool { return !p.read || p.fresh }

// keyOf returns the key whose row goes into the unit's transaction, if any.
func (p *plan) keyOf(u *execution.Unit) string {
	if !p.keyed(u) {
		return ""
	}
	return u.Key
}

func (p *plan) admission(deadline time.Time, member string, inTransaction bool) admission.Request {
	r := admission.Request{
		Class:    p.class,
		Priority: p.priority,
		MaxQueue: p.maxQueue,
		Deadline: deadline,
		WantedBy: p.wantedBy,
		Member:   member,
	}
	if inTransaction {
		// A transaction holds locks that others wait for, so its statements
		// go before new work.
		r.Priority = priorityTransaction
	}
	return r
}
