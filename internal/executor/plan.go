package executor

import (
	"time"

	"github.com/topazrock/topazrock/internal/admission"
	"github.com/topazrock/topazrock/internal/consistency"
	"github.com/topazrock/topazrock/internal/document"
	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/result"
)

// maxKeyLength is the maximum length of a request key in bytes.
const maxKeyLength = 200

// Priorities of units without a class.
const (
	priorityTransaction = 1
	priorityUntagged    = 5
)

// classUntagged is the class label of units without a class.
const classUntagged = "untagged"

// plan is what the service document specifies for one unit.
type plan struct {
	class string
	// workspace is the workspace that the unit runs for; empty if it has none.
	workspace string
	read      bool
	// consistency is what the unit must see if it reads.
	consistency consistency.Level
	atMostOnce  bool
	priority    int
	maxQueue    int
	timeout     time.Duration
	objective   time.Duration
	// objectiveDeadline is when the objective ends, counted from the unit's arrival; zero if the
	// class has no objective.
	objectiveDeadline time.Time
	limits            document.Limits
}

// newPlan looks up the unit's class in the service document. A unit without a class is treated as
// a write that must not be repeated.
func newPlan(s *document.Service, u *execution.Unit) (plan, error) {
	p := plan{
		class:     classUntagged,
		workspace: u.Workspace,
		priority:  priorityUntagged,
		maxQueue:  s.Limits.MaxQueue,
		timeout:   s.Limits.RequestTimeout,
		limits:    s.Limits,
	}
	if u.Class == "" {
		return p, nil
	}
	p.class = u.Class
	if r, ok := s.FindReadClass(u.Class); ok {
		p.read = !r.MayWrite || u.IsReadOnly()
		p.consistency = r.Consistency
		if u.Consistency != nil {
			p.consistency = consistency.Stricter(r.Consistency, *u.Consistency)
		}
		p.objective = r.LatencyObjective
		p.overrideLimits(r.Priority, r.MaxQueue, r.Timeout)
		return p, nil
	}
	w, ok := s.FindRequestClass(u.Class)
	if !ok {
		return plan{}, result.New(result.UnknownClass, "%q", u.Class)
	}
	// Preparing or describing a statement does not run it and must not consume its key.
	p.atMostOnce = w.AtMostOnce && u.Executes()
	p.overrideLimits(w.Priority, w.MaxQueue, w.Timeout)
	return p, p.checkKey(u)
}

func (p *plan) overrideLimits(priority, maxQueue int, timeout time.Duration) {
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

// keyed reports whether a row for the request key is inserted in the unit's transaction.
func (p *plan) keyed(u *execution.Unit) bool { return p.atMostOnce && u.Key != "" }

// needsPrimary reports whether the unit must run at the primary.
func (p *plan) needsPrimary() bool { return !p.read || p.consistency.RunsAtPrimary() }

// keyOf returns the key whose row is inserted in the unit's transaction, or an empty string.
func (p *plan) keyOf(u *execution.Unit) string {
	if !p.keyed(u) {
		return ""
	}
	return u.Key
}

func (p *plan) admissionRequest(deadline time.Time, member string, inTransaction bool) admission.Request {
	r := admission.Request{
		Class:             p.class,
		Priority:          p.priority,
		MaxQueue:          p.maxQueue,
		Deadline:          deadline,
		ObjectiveDeadline: p.objectiveDeadline,
		Workspace:         p.workspace,
		InTransaction:     inTransaction,
		Member:            member,
	}
	if inTransaction {
		// A transaction holds locks that others wait for, so its statements take priority over
		// new work.
		r.Priority = priorityTransaction
	}
	return r
}
