package shares

// Holder names the process that holds a seat.
type Holder struct {
	Instance string `json:"instance"`
	// Incarnation differs for every process, also on the same instance.
	Incarnation string `json:"incarnation"`
	// Tenure differs for every Manager, also of one process. New fills it in.
	Tenure        string `json:"tenure"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
}

// same reports whether h is the Manager o.
func (h *Holder) same(o Holder) bool {
	return h != nil && h.Instance == o.Instance && h.Incarnation == o.Incarnation && h.Tenure == o.Tenure
}

// precedes reports whether h is an earlier holder at o's address: another
// process, or a Manager of this one that has closed. It holds nothing any more,
// for o is the one that takes calls at the address now.
func (h *Holder) precedes(o Holder) bool {
	return h != nil && h.Address == o.Address && !h.same(o)
}
