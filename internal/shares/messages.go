package shares

// Methods that instances call on each other.
const (
	// MethodBorrow asks a holder for a loan. It takes a BorrowRequest and returns a
	// BorrowReply.
	MethodBorrow = "shares.borrow"
	// MethodCapacityNotice announces that capacity was returned or can be lent. It
	// takes a CapacityNotice and returns Empty.
	MethodCapacityNotice = "shares.return"
	// MethodHolder asks which process answers at an address. It takes a HolderRequest
	// and returns a HolderReply.
	MethodHolder = "shares.holder"
)

// BorrowRequest asks for idle capacity.
type BorrowRequest struct {
	Group string `json:"group"`
	// Borrower must hold a share in the ledger.
	Borrower Holder `json:"borrower"`
	Want     Amount `json:"want"`
}

// BorrowReply reports what was moved to the borrower's share. The ledger is
// authoritative, not this message.
type BorrowReply struct {
	Lent Amount `json:"lent"`
}

// CapacityNotice announces that the ledger of a group changed to the receiver's
// advantage, or that the sender can now lend what it refused before.
type CapacityNotice struct {
	Group string `json:"group"`
}

// Empty is a reply without content.
type Empty struct{}

// HolderRequest asks a process which incarnation it is and whether it uses a group.
type HolderRequest struct {
	Group string `json:"group"`
}

// HolderReply identifies the process that answers.
type HolderReply struct {
	Incarnation string `json:"incarnation"`
	// Holds is true if the process has connections of the group or may open some. If it
	// is false, the process has none and opens none before it has read the ledger
	// again.
	Holds bool `json:"holds"`
}
