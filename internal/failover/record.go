package failover

import (
	"encoding/json"
	"fmt"
	"math"

	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/platform"
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
	// unreadable means that the stored object cannot be decoded. It stands for a claim of which nothing
	// but Claim is known: whoever wrote it may have replaced the record of an announced promotion.
	unreadable bool
}

// unreadableRecord stands for an object of the given version that cannot be decoded. Fencing tokens
// of earlier claims are below the version, so that the next claim exceeds them all the same.
func unreadableRecord(version platform.Revision) Record {
	return Record{Claim: fmt.Sprintf("unreadable/%d", version), unreadable: true}
}

// mayBeRequested reports whether the claimer may still request a promotion without storing anything
// before.
func (r Record) mayBeRequested() bool {
	return r.unreadable || r.Target != "" && r.Primary == "" && !r.Withdrawn
}

// maxRecordedTerm is the highest term that a record may name; a higher one leaves no room for later claims.
const maxRecordedTerm = 1 << 62

func (r Record) encode() ([]byte, error) { return json.Marshal(r) }

func decodeRecord(value []byte) (Record, error) {
	if len(value) == 0 {
		return Record{}, fmt.Errorf("%w: %w", ErrBadRecord, platform.ErrUnreadable)
	}
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, fmt.Errorf("%w: %w", ErrBadRecord, err)
	}
	if r.Term > maxRecordedTerm || r.FailingTerm > maxRecordedTerm || r.Number > math.MaxInt64 {
		return Record{}, fmt.Errorf("%w: term %d, number %d", ErrBadRecord, r.Term, r.Number)
	}
	return r, nil
}
