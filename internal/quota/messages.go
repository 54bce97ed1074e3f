package quota

// request is sent by an instance to a limiter. Counts are by workspace.
type request struct {
	// Instance is the ID of the sender; Process identifies its process.
	Instance string `json:"h"`
	Process  string `json:"p"`
	Lease    *lease `json:"l,omitempty"`
	// Waiting counts the tokens for operations that wait for them.
	Waiting map[string]int `json:"n,omitempty"`
	// WaitingByRank and PrefetchByRank divide the counts of Waiting and Prefetch by the rank of the
	// operations. What they do not state has no rank; what they state beyond the counts is ignored.
	WaitingByRank  map[string]map[Rank]int `json:"nr,omitempty"`
	PrefetchByRank map[string]map[Rank]int `json:"ar,omitempty"`
	// Prefetch counts the tokens wanted for future operations, and Prefetched those that are
	// held for them already. An instance has at most one request with these fields in progress
	// at a limiter.
	Prefetch   map[string]int `json:"a,omitempty"`
	Prefetched map[string]int `json:"e,omitempty"`
	// Returned counts tokens whose operations did not run, and prefetched ones that expired.
	Returned map[string]int `json:"r,omitempty"`
}

// lease delegates the sender's share of the workspaces of some shards.
type lease struct {
	// Process is the limiter's process, by whose clock Until is given.
	Process string `json:"p"`
	// Until is when the lease ends, in microseconds of the limiter's clock.
	Until int64 `json:"u"`
	// Sequence orders the leases of one process of the sender.
	Sequence uint64 `json:"n"`
	// ShareCount is the number of shares that the sender divides each limit into.
	ShareCount int   `json:"c"`
	Shards     []int `json:"s"`
	// FreeMicros is the time for which the share of a shard was not leased before this lease,
	// in microseconds, by shard.
	FreeMicros map[int]int64 `json:"i,omitempty"`
}

// response is a limiter's answer.
type response struct {
	Process string `json:"p"`
	// Clock is the limiter's clock when it answered, in microseconds.
	Clock           int64          `json:"c"`
	Granted         map[string]int `json:"n,omitempty"`
	PrefetchGranted map[string]int `json:"a,omitempty"`
	// PrefetchGrantedByRank divides PrefetchGranted by rank; missing from a limiter without ranks.
	PrefetchGrantedByRank map[string]map[Rank]int `json:"ar,omitempty"`
	// RetryAfterMS is when refused callers should retry, in milliseconds from now.
	RetryAfterMS map[string]int64 `json:"r,omitempty"`

	// invalidRanks reports that the request's counts by rank were wrong; it is not sent.
	invalidRanks bool
}
