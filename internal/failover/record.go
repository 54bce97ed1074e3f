package failover

import (
	"encoding/json"
	"fmt"

	"github.com/topazrock/topazrock/internal/logpos"
)

// Record is the value of a group's object on the platform.
type Record struct {
	// Term is the highest term that was claimed.
	Term logpos.Term `json:"term"`
	// Number is the claim's fencing token. It is higher than those of all earlier claims of the
	// group, including claims that the platform's store has lost.
	Number uint64 `json:"number,omitempty"`
	// Claim is the unique ID of the claim. A claimer that lost the answer to its
	// update compares it to tell its own claim from another instance's.
	Claim string `json:"claim"`
	// Claimer is the ID of the instance that claimed the term.
	Claimer string `json:"claimer"`
	Cause   Cause  `json:"cause"`
	// Target is the address of the member whose promotion the claimer may request; empty until it
	// announces that. Builds that do not know it drop it.
	Target string `json:"target,omitempty"`
	// Withdrawn means that the claimer requests no promotion under the claim any more.
	Withdrawn bool `json:"withdrawn,omitempty"`
	// Primary is the address of the promoted member; empty until then.
	Primary string `json:"primary,omitempty"`
	// FailingTerm is the highest term that was claimed because a primary failed its statements;
	// zero if there is none. Later claims keep it; a build that does not know it drops it.
	FailingTerm logpos.Term `json:"failing_term,omitempty"`
}

// mayBeRequested reports whether the claimer may still request a promotion without storing anything
// before.
func (r Record) mayBeRequested() bool { return r.Target != "" && r.Primary == "" && !r.Withdrawn }

func (r Record) encode() ([]byte, error) { return json.Marshal(r) }

func decodeRecord(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, fmt.Errorf("%w: %w", ErrBadRecord, err)
	}
	return r, nil
}
