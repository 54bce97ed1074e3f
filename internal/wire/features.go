package wire

// Features are what a members' protocol can do beyond running statements.
type Features struct {
	// ChecksPosition says that a member refuses a read whose required position
	// its log lacks, so that a read may be sent without a proof of the replica's
	// age.
	ChecksPosition bool
	// TellsLog says that answers tell the member's log, so that a commit needs no
	// report behind it.
	TellsLog bool
	// SlotIsConnection says that a slot of the gate stands for a connection to one
	// member, so that a transaction keeps its slot.
	SlotIsConnection bool
	// HoldsAnswers says that answers are always held whole, so that two attempts of a
	// read cannot both have sent a piece.
	HoldsAnswers bool
	// TellsEnd says that units tell for certain which of them commits, so that a
	// transaction whose commit was not sent is known to be rolled back.
	TellsEnd bool
}
