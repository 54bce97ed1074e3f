package result

import "fmt"

// Code is the number of a result. Its thousands digit is the family.
type Code int

// Codes of FamilyDidNotRun.
const (
	QueueFull           Code = 1001
	DeadlineTooShort    Code = 1002
	QueueTimeout        Code = 1003
	NoPrimary           Code = 1004
	NoConfirmingReplica Code = 1005
	NoFreshReplica      Code = 1006
	UpstreamUnreachable Code = 1007
	TooManyConnections  Code = 1008
	Draining            Code = 1009
	UnknownGroup        Code = 1010
	AuthFailed          Code = 1011
	BadToken            Code = 1012
	TokenUnreachable    Code = 1013
	BadRequestTag       Code = 1014
	KeyRequired         Code = 1015
	KeyTooLong          Code = 1016
	NotSupported        Code = 1017
	ProtocolViolation   Code = 1018
	RetryBudgetSpent    Code = 1019
	TombstoneWritten    Code = 1020
	NotReady            Code = 1021
	TooManyCallers      Code = 1022
	StatementTooLarge   Code = 1023
	UnknownClass        Code = 1024
	TransactionLost     Code = 1025
	ReadRefused         Code = 1026
	MemberBusy          Code = 1027
	ReadFailed          Code = 1028
	InvalidKey          Code = 1029
	QuotaExceeded       Code = 1030
	QuotaUnavailable    Code = 1031
	CallerLeft          Code = 1032
)

// Codes of FamilyOutcomeUnknown.
const (
	ConfirmTimeout   Code = 2001
	ConnectionLost   Code = 2002
	StatementTimeout Code = 2003
	PrimaryReplaced  Code = 2004
	PeerLost         Code = 2005
	AnswerCutShort   Code = 2006
	TombstoneFailed  Code = 2007
)

// Codes of FamilyRan.
const (
	AlreadyRan Code = 3001
)

// Codes of FamilyAdmin.
const (
	DocumentInvalid     Code = 4001
	VersionConflict     Code = 4002
	DidNotTakeEffect    Code = 4003
	StillSettling       Code = 4004
	PlatformUnavailable Code = 4005
	NotFound            Code = 4006
	AccessDenied        Code = 4007
	BadAdminRequest     Code = 4008
)

// Family returns the family of the code.
func (c Code) Family() Family { return Family(c / 1000) }

// SQLState returns the five-character SQLSTATE for an ErrorResponse: the class TD
// (did not run), TU (outcome unknown), TR (already ran) or TA (administration) and
// the last three digits of the code. The SQL standard leaves classes that begin
// with a letter after H to implementations.
func (c Code) SQLState() string {
	class := map[Family]string{
		FamilyDidNotRun:      "TD",
		FamilyOutcomeUnknown: "TU",
		FamilyRan:            "TR",
		FamilyAdmin:          "TA",
	}[c.Family()]
	return fmt.Sprintf("%s%03d", class, int(c)%1000)
}

// Label returns the code as a metric label value.
func (c Code) Label() string { return fmt.Sprintf("TZ%04d", int(c)) }
