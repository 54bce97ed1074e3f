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
	// Number counts the group's claims; it rises with each.
	Number uint64 `json:"number,omitempty"`
	// Claim names the claim uniquely, so that a claimer whose answer was lost
	// can tell its own claim from a rival's.
	Claim string `json:"claim"`
	// Claimer is the instance that claimed the term.
	Claimer string `json:"claimer"`
	Cause   Cause  `json:"cause"`
	// Primary is the member that was promoted; empty until then.
	Primary string `json:"primary,omitempty"`
}

func (r Record) encode() ([]byte, error) { return json.Marshal(r) }

func decodeRecord(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, fmt.Errorf("%w: %w", ErrBadRecord, err)
	}
	return r, nil
}
