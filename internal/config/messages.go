package config

// Methods that peers call.
const (
	methodPush     = "config.push"
	methodDigest   = "config.digest"
	methodCompare  = "config.compare"
	methodVersions = "config.versions"
)

// maxBatch bounds the text of the documents in one message, in bytes. What does
// not fit goes with the next message.
const maxBatch = 512 << 10

// wireDocument is a document on its way between instances.
type wireDocument struct {
	Name     string   `json:"name"`
	Envelope Envelope `json:"envelope"`
}

// pushParams carries versions that the caller has in force.
type pushParams struct {
	Documents []wireDocument `json:"documents"`
}

// pushReply is empty: a lost or refused push is repaired by digests.
type pushReply struct{}

// digestParams says what the caller has in one number.
type digestParams struct {
	Root uint64 `json:"root"`
}

// digestReply is empty when the sums agree; else it holds the sum of each part.
type digestReply struct {
	Sums []uint64 `json:"sums,omitempty"`
}

// compareParams lists the caller's versions in the parts that differ.
type compareParams struct {
	Buckets  []int            `json:"buckets"`
	Versions map[string]int64 `json:"versions"`
}

// compareReply holds what the caller lacks and names what it should push.
type compareReply struct {
	Documents []wireDocument `json:"documents,omitempty"`
	Wanted    []string       `json:"wanted,omitempty"`
	// More says that further documents did not fit.
	More bool `json:"more,omitempty"`
}
