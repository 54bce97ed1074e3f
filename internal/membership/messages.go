package membership

import "github.com/topazrock/topazrock/internal/platform"

// Methods that peers call.
const (
	methodPull    = "membership.pull"
	methodChanged = "membership.changed"
)

// pullParams say what the caller has: one sum over all, and on the second call
// the sum of each part.
type pullParams struct {
	Root uint64   `json:"root"`
	Sums []uint64 `json:"sums,omitempty"`
}

// pullReply is the answerer's list as far as it differs.
type pullReply struct {
	// None says that the answerer has no list.
	None bool `json:"none,omitempty"`
	// AgeMS is how long ago the platform gave the answerer's list, in
	// milliseconds. Ages are passed on instead of times, because the clocks of
	// two instances need not agree.
	AgeMS int64 `json:"age_ms"`
	Same  bool  `json:"same,omitempty"`
	// Parts are the parts that differ, and Instances all entries in them.
	Parts     []int               `json:"parts,omitempty"`
	Instances []platform.Instance `json:"instances,omitempty"`
	// Leaving are the addresses of all leaving upstreams.
	Leaving []string `json:"leaving,omitempty"`
}

// changedParams is empty: the children pull what has changed.
type changedParams struct{}
