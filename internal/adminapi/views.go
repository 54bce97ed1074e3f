package adminapi

import "time"

// Identity identifies the instance.
type Identity struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failure_domain"`
	// Build is the version of the program.
	Build string `json:"build"`
}

// DocumentInfo is an entry of the list of documents.
type DocumentInfo struct {
	Name string `json:"name"`
	// Version is the version in force on this instance.
	Version int64 `json:"version"`
}

// Document is a stored service document.
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

// InstanceVersion is the version of a document that an instance has in force.
type InstanceVersion struct {
	Instance      string `json:"instance"`
	FailureDomain string `json:"failure_domain"`
	Version       int64  `json:"version"`
	// Leaving is true if the platform lists the instance as leaving.
	Leaving bool `json:"leaving"`
	// Error is the reason why the instance did not report its version; empty if
	// it did.
	Error string `json:"error,omitempty"`
}

// GroupView is the state of a group as seen by this instance.
type GroupView struct {
	Name  string     `json:"name"`
	State GroupState `json:"state"`
	Term  uint64     `json:"term"`
	// Primary is the address of the primary in Term; empty if it is unknown.
	Primary string       `json:"primary"`
	Members []MemberView `json:"members"`
}

// MemberView is the state of a member as seen by this instance.
type MemberView struct {
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Role          string `json:"role"`
	Term          uint64 `json:"term"`
	Position      uint64 `json:"position"`
	// LagBytes is how many bytes the end of the member's log is before the end of the
	// primary's log; -1 if the member's log is not known to be a prefix of the
	// primary's.
	LagBytes int64 `json:"lag_bytes"`
	// MaxAgeMillis is the verified upper bound of the age of the member's data,
	// in milliseconds; -1 if no bound is known.
	MaxAgeMillis int64 `json:"fresh_ms"`
	// Failing is true if probes on new connections fail.
	Failing bool `json:"failing"`
	Leaving bool `json:"leaving"`
	// Health is the health by the outcome of this instance's statements: healthy, ejected or
	// probation; empty if it is not derived.
	Health string `json:"health,omitempty"`
}

// PoolView describes this instance's use of connections to a group.
type PoolView struct {
	Group string `json:"group"`
	// Total is the hard limit on connections to the group, over all instances.
	Total int `json:"total"`
	// Seated is true if this instance is one of those that may currently open
	// connections to the group's members.
	Seated bool `json:"seated"`
	// Share is the number of connections that this instance may currently hold,
	// including control connections. Slots is the number of statements that it
	// may run concurrently.
	Share int `json:"share"`
	Slots int `json:"slots"`
	InUse int `json:"in_use"`
	Idle  int `json:"idle"`
}

// WorkspaceView describes a workspace and the operations that were requested for
// it on this instance.
type WorkspaceView struct {
	Name     string `json:"name"`
	Priority int    `json:"priority"`
	// Rate and Burst are the workspace's rate limit over all instances; both
	// are zero if there is no limit.
	Rate  float64 `json:"rate_per_second"`
	Burst float64 `json:"burst"`
	// RequestedPerSecond is the recent average rate of operations that callers asked
	// this instance to start. Refused counts the operations that this instance
	// refused because of the limit.
	RequestedPerSecond float64 `json:"begun_per_second"`
	Refused            uint64  `json:"refused"`
}

// PeerView describes another instance that this instance knows.
type PeerView struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failure_domain"`
	Address       string `json:"address"`
	Connected     bool   `json:"connected"`
	Leaving       bool   `json:"leaving"`
}

// Readiness is the response of /readyz.
type Readiness struct {
	Ready   bool     `json:"ready"`
	Reasons []string `json:"reasons,omitempty"`
}

// DrainView is the response of a drain request.
type DrainView struct {
	Draining bool `json:"draining"`
}

// StatusView is an overview of the instance's state for operators.
type StatusView struct {
	Instance  Identity       `json:"instance"`
	Readiness Readiness      `json:"readiness"`
	Draining  bool           `json:"draining"`
	Documents []DocumentInfo `json:"documents"`
	Groups    []GroupView    `json:"groups"`
	Pools     []PoolView     `json:"pools"`
	// Workspaces lists the workspaces that callers of this instance may belong
	// to.
	Workspaces []WorkspaceView `json:"workspaces"`
	Peers      []PeerView      `json:"peers"`
}
