package quota

// request is what an instance asks a limiter. Counts are by workspace.
type request struct {
	// Holder is the instance, Process tells one process of it from the next.
	Holder  string `json:"h"`
	Process string `json:"p"`
	Lease   *lease `json:"l,omitempty"`
	// Now counts the tokens for operations that wait for them.
	Now map[string]int `json:"n,omitempty"`
	// Ahead counts the tokens wanted for operations to come, and Held those that are held
	// for them. An instance sends these to a limiter one after the other.
	Ahead map[string]int `json:"a,omitempty"`
	Held  map[string]int `json:"e,omitempty"`
	// Returned counts tokens whose operations did not run.
	Returned map[string]int `json:"r,omitempty"`
}

// lease delegates the holder's share of the workspaces of some shards.
type lease struct {
	// Process is the limiter's, whose clock Until is read on.
	Process string `json:"p"`
	// Until is when the lease ends, in microseconds of the limiter's clock.
	Until int64 `json:"u"`
	// Number orders the leases of one process of the holder.
	Number uint64 `json:"n"`
	// Parts is how many shares there are by the holder's count.
	Parts  int   `json:"c"`
	Shards []int `json:"s"`
	// Idle is for how long nobody held the share of a shard before this lease, in
	// microseconds, by shard.
	Idle map[int]int64 `json:"i,omitempty"`
}

// response is a limiter's answer.
type response struct {
	Process string `json:"p"`
	// Clock is the limiter's clock as it answered, in microseconds.
	Clock int64          `json:"c"`
	Now   map[string]int `json:"n,omitempty"`
	Ahead map[string]int `json:"a,omitempty"`
	// ReturnMS is when refused callers are to come back, in milliseconds.
	ReturnMS map[string]int64 `json:"r,omitempty"`
}
