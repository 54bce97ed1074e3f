package shares

// Methods between instances.
const (
	// MethodBorrow asks a holder to lend; BorrowRequest and BorrowReply.
	MethodBorrow = "shares.borrow"
	// MethodReturn tells that share was given back or can be lent; Notice and Empty.
	MethodReturn = "shares.return"
	// MethodHolder asks who answers at an address; HolderRequest and HolderReply.
	MethodHolder = "shares.holder"
)

// BorrowRequest asks for idle share.
type BorrowRequest struct {
	Group string `json:"group"`
	// Borrower must hold a seat in the ledger.
	Borrower Holder `json:"borrower"`
	Want     Amount `json:"want"`
}

// BorrowReply tells what was moved to the borrower's seat. The ledger counts,
// not this message.
type BorrowReply struct {
	Lent Amount `json:"lent"`
}

// Notice tells that the ledger of a group changed in the receiver's favour, or
// that the sender can lend what it refused before.
type Notice struct {
	Group string `json:"group"`
}

// Empty is an answer without content.
type Empty struct{}

// HolderRequest asks the process at an address for its part in a group.
type HolderRequest struct {
	Group string `json:"group"`
}

// HolderReply names the process that answers.
type HolderReply struct {
	Incarnation string `json:"incarnation"`
	// Holds says that the process has connections of the group or may open
	// some. When it is false, the process holds none and will open none before
	// it has read the ledger again.
	Holds bool `json:"holds"`
}
