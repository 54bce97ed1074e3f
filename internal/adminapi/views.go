package adminapi

import "time"

// Identity names the instance.
type Identity struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failure_domain"`
	// Build is the version of the program.
	Build string `json:"build"`
}

// DocumentInfo is one entry of the list of documents.
type DocumentInfo struct {
	Name string `json:"name"`
	// Version is the version in force on this instance.
	Version int64 `json:"version"`
}

// Document is one service document as stored.
type Document struct {
	Name    string    `json:"name"`
	Version int64     `json:"version"`
	By      string    `json:"by"`
	At      time.Time `json:"at"`
	Text    string    `json:"text"`
}

// Change is one accepted change of a document.
type Change struct {
	Version int64     `json:"version"`
	By      string    `json:"by"`
	At      time.Time `json:"at"`
}

// InstanceVersion is what one instance has in force of one document.
type InstanceVersion struct {
	Instance      string `json:"instance"`
	FailureDomain string `json:"failure_domain"`
	Version       int64  `json:"version"`
	// Leaving says that the platform lists the instance as leaving.
	Leaving bool `json:"leaving"`
	// Error says why the instance did not report; empty if it did.
	Error string `json:"error,omitempty"`
}

// GroupView is what this instance knows of one group.
type GroupView struct {
	Name  string     `json:"name"`
	State GroupState `json:"state"`
	Term  uint64     `json:"term"`
	// Primary is the address of the term's primary; empty while none is known.
	Primary string       `json:"primary"`
	Members []MemberView `json:"members"`
}

// MemberView is what this instance knows of one member.
type MemberView struct {
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Role          string `json:"role"`
	Term          uint64 `json:"term"`
	Position      uint64 `json:"position"`
	// LagBytes is how far the member's log ends behind the primary's; -1 when
	// its log is not known to be a prefix of the primary's.
	LagBytes int64 `json:"lag_bytes"`
	// FreshMillis is the age that the member's data is proved not to pass, in
	// milliseconds; -1 when nothing is proved.
	FreshMillis int64 `json:"fresh_ms"`
	// Failing says that probes on new connections fail.
	Failing bool `json:"failing"`
	Leaving bool `json:"leaving"`
}

// PoolView is the use of one group's connections by this instance.
type PoolView struct {
	Group string `json:"group"`
	// Total is the group's hard total over all instances.
	Total int `json:"total"`
	// Seated says that this instance has a seat of the group, so that it may
	// have connections to its members.
	Seated bool `json:"seated"`
	// Share is how many connections this instance may hold now, those for
	// control included, and Slots how many statements it may run at once.
	Share int `json:"share"`
	Slots int `json:"slots"`
	InUse int `json:"in_use"`
	Idle  int `json:"idle"`
}

// WorkspaceView is what this instance knows of a workspace and has begun for it.
type WorkspaceView struct {
	Name     string `json:"name"`
	Priority int    `json:"priority"`
	// Rate and Burst are its limit over all instances; both zero where there is none.
	Rate  float64 `json:"rate_per_second"`
	Burst float64 `json:"burst"`
	// BegunPerSecond is the average of the operations that this instance has been asked to
	// begin of late, and Refused counts those that it refused for the limit.
	BegunPerSecond float64 `json:"begun_per_second"`
	Refused        uint64  `json:"refused"`
}

// PeerView is one instance that this one knows.
type PeerView struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failure_domain"`
	Address       string `json:"address"`
	Connected     bool   `json:"connected"`
	Leaving       bool   `json:"leaving"`
}

// Readiness is the answer of /readyz.
type Readiness struct {
	Ready   bool     `json:"ready"`
	Reasons []string `json:"reasons,omitempty"`
}

// DrainView is the answer of a drain call.
type DrainView struct {
	Draining bool `json:"draining"`
}

// StatusView gathers what an operator asks for first.
type StatusView struct {
	Instance  Identity       `json:"instance"`
	Readiness Readiness      `json:"readiness"`
	Draining  bool           `json:"draining"`
	Documents []DocumentInfo `json:"documents"`
	Groups    []GroupView    `json:"groups"`
	Pools     []PoolView     `json:"pools"`
	// Workspaces are those that callers of this instance may belong to.
	Workspaces []WorkspaceView `json:"workspaces"`
	Peers      []PeerView      `json:"peers"`
}
