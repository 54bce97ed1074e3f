package shares

// Holder identifies the Manager that holds a share.
type Holder struct {
	Instance string `json:"instance"`
	// Incarnation is different for every process, including processes on one instance.
	Incarnation string `json:"incarnation"`
	// ManagerID is different for every Manager of a process. New sets it.
	ManagerID     string `json:"tenure"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
}

// sameAs reports whether h and o identify the same Manager.
func (h *Holder) sameAs(o Holder) bool {
	return h != nil && h.Instance == o.Instance && h.Incarnation == o.Incarnation && h.ManagerID == o.ManagerID
}

// precedes reports whether h is an earlier holder at o's address: another process, or a
// closed Manager of the same process. It no longer holds anything, because o now
// receives the calls to that address.
func (h *Holder) precedes(o Holder) bool {
	return h != nil && h.Address == o.Address && !h.sameAs(o)
}
