package membership

import "github.com/topazrock/topazrock/internal/platform"

// Peer call methods.
const (
	methodPull    = "membership.pull"
	methodChanged = "membership.changed"
)

// pullParams describe the requester's list. The first call of a pull sends the checksum of the
// whole list; if the responder's list differs, a second call also sends the checksum of each
// part.
type pullParams struct {
	Checksum      uint64   `json:"root"`
	PartChecksums []uint64 `json:"sums,omitempty"`
}

// pullReply describes the responder's list where it differs from the requester's.
type pullReply struct {
	// NoList means that the responder has no list.
	NoList bool `json:"none,omitempty"`
	// AgeMS is the time since the platform returned the responder's list, in milliseconds. Ages
	// are sent instead of timestamps because the clocks of two instances may differ.
	AgeMS int64 `json:"age_ms"`
	Same  bool  `json:"same,omitempty"`
	// Parts are the indexes of the parts that differ, and Instances are all entries in them.
	Parts     []int               `json:"parts,omitempty"`
	Instances []platform.Instance `json:"instances,omitempty"`
	// Leaving are the addresses of all leaving upstreams.
	Leaving []string `json:"leaving,omitempty"`
}

// changedParams is empty: the children pull the changes.
type changedParams struct{}
