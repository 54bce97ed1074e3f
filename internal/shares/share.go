package shares

// Share is a part of the total that at most one process may use at a time.
type Share struct {
	Name string `json:"name"`
	// FailureDomain restricts who may take the share; empty for a reserve share.
	FailureDomain string `json:"failure_domain,omitempty"`
	// Size is what the holder may use now. Loans move it away from Target: they lower the
	// lender's Size, but never below its Floor, and raise the borrower's.
	Size   Amount  `json:"size"`
	Target Amount  `json:"target"`
	Floor  Amount  `json:"floor"`
	Holder *Holder `json:"holder,omitempty"`
	// Epoch increases with every change of holder.
	Epoch int64 `json:"epoch"`
	// Mark is set while an instance suspects that the holder has vanished.
	Mark *SuspectMark `json:"mark,omitempty"`
}

// SuspectMark records that an instance suspects a share's holder to have vanished. By is
// that instance. A holder that reads the mark on its share removes it.
type SuspectMark struct {
	ID string `json:"id"`
	By string `json:"by"`
}

// isFree reports whether the share has no holder.
func (s *Share) isFree() bool { return s.Holder == nil }

// setHolder changes the holder; nil frees the share.
func (s *Share) setHolder(h *Holder) {
	s.Holder = h
	s.Mark = nil
	s.Epoch++
}
