package wire

// Features describes what the members' protocol supports beyond running statements.
type Features struct {
	// ChecksPosition reports that a member refuses a read whose required position its log
	// has not reached, so that a read may be sent without checking the replica's staleness
	// first.
	ChecksPosition bool
	// ReportsLogPosition reports that responses contain the position of the member's log, so that a
	// commit needs no StepMemberStatus after it.
	ReportsLogPosition bool
	// SlotPerConnection reports that each admission slot corresponds to a connection to one
	// member, so that a transaction keeps its slot.
	SlotPerConnection bool
	// BuffersResponses reports that responses are always buffered completely, so that two
	// attempts of one read cannot both have sent a piece of their response to the caller.
	BuffersResponses bool
	// ReportsCommit reports that each unit shows reliably whether it ends with a commit, so
	// that a transaction whose commit was not sent is known to be rolled back.
	ReportsCommit bool
}
