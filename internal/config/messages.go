package config

// Names of the methods that peers call.
const (
	methodPush     = "config.push"
	methodDigest   = "config.digest"
	methodCompare  = "config.compare"
	methodVersions = "config.versions"
)

// maxBatch limits the total text size of the documents in one message, in
// bytes. Documents beyond it are sent in the next message.
const maxBatch = 512 << 10

// wireDocument is a document as sent between instances.
type wireDocument struct {
	Name     string   `json:"name"`
	Envelope Envelope `json:"envelope"`
}

// pushParams contains the caller's current versions of some documents.
type pushParams struct {
	Documents []wireDocument `json:"documents"`
}

// pushReply is empty: digest exchanges repair a push that was lost or rejected.
type pushReply struct{}

// digestParams contains one checksum over all documents of the caller.
type digestParams struct {
	Root uint64 `json:"root"`
}

// digestReply is empty if the checksums are equal; otherwise it contains the
// checksum of each bucket.
type digestReply struct {
	Sums []uint64 `json:"sums,omitempty"`
}

// compareParams lists the caller's versions in the buckets that differ.
type compareParams struct {
	Buckets  []int            `json:"buckets"`
	Versions map[string]int64 `json:"versions"`
}

// compareReply contains the documents that the caller lacks and the names of
// those that the caller should push.
type compareReply struct {
	Documents []wireDocument `json:"documents,omitempty"`
	Wanted    []string       `json:"wanted,omitempty"`
	// More reports that the caller lacks more documents than fit in the message.
	More bool `json:"more,omitempty"`
}
