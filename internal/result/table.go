package result

// Entry is the public description of one code, as docs/RESULT-CODES.md lists it.
type Entry struct {
	Code Code
	// Name is the short name used in logs and messages.
	Name string
	// Meaning tells what happened, in one sentence.
	Meaning string
}

// Table lists every code in ascending order.
var Table = []Entry{
	{QueueFull, "queue full", "the queue of the request's class is full"},
	{DeadlineTooShort, "deadline too short", "the expected wait for a slot passes the request's deadline"},
	{QueueTimeout, "queue timeout", "no slot came free before the request's deadline"},
	{NoPrimary, "no primary", "the group has no known primary at the moment"},
	{NoConfirmingReplica, "no confirming replica", "no replica of the primary's term was seen lately, so a write could not be confirmed"},
	{NoReplicaFresh, "no fresh replica", "no member could prove that its data is fresh enough"},
	{UpstreamUnreachable, "upstream unreachable", "no connection to the member could be opened"},
	{TooManyConnections, "too many connections", "the group's share of connections is in use"},
	{Draining, "draining", "this instance is shutting down; connect again to reach another"},
	{UnknownGroup, "unknown group", "no service document names the group"},
	{AuthFailed, "authentication failed", "user or password is wrong"},
	{BadToken, "bad token", "the session token is malformed or of another group"},
	{TokenUnreachable, "token unreachable", "the session token lies past the end of the group's log"},
	{BadRequestTag, "bad request tag", "the request's tag is malformed"},
	{KeyRequired, "key required", "the request class runs at most once and needs a key"},
	{KeyTooLong, "key too long", "the request key is longer than allowed"},
	{NotSupported, "not supported", "the proxy does not carry this kind of message or statement"},
	{ProtocolViolation, "protocol violation", "the caller's bytes are not valid protocol messages"},
	{RetryBudgetSpent, "retry budget spent", "a retry was due but the group's retry budget is spent"},
	{TombstoneWritten, "tombstone written", "the request's key is blocked for good, so the request can never run"},
	{NotReady, "not ready", "this instance has no service documents yet"},
	{TooManyCallers, "too many callers", "this instance holds as many callers as its settings allow"},
	{StatementTooLarge, "statement too large", "the request is larger than the bound"},
	{UnknownClass, "unknown class", "the service document does not name the request's class"},
	{TransactionLost, "transaction lost", "the transaction's connection is gone and the transaction was rolled back"},
	{ReadRefused, "read refused", "a read outside the declared classes was sent where it cannot be proved fresh"},
	{ConfirmTimeout, "confirmation timeout", "the primary answered but no replica confirmed the write in time"},
	{ConnectionLost, "connection lost", "the connection to the member broke after the request was sent"},
	{StatementTimeout, "statement timeout", "the member did not answer in time"},
	{PrimaryReplaced, "primary replaced", "the primary was replaced before the write was confirmed"},
	{PeerLost, "peer lost", "the instance that ran the request stopped answering"},
	{AnswerCutShort, "answer cut short", "the answer ended before it was whole"},
	{TombstoneFailed, "tombstone failed", "the outcome could not be settled by blocking the request's key"},
	{AlreadyRan, "already ran", "a request with this key has run before"},
	{DocumentInvalid, "document invalid", "the service document did not pass its checks"},
	{VersionConflict, "version conflict", "another change of the document came first"},
	{DidNotTakeEffect, "did not take effect", "the change was not stored"},
	{StillSettling, "still settling", "whether the change was stored is not known yet"},
	{PlatformUnavailable, "platform unavailable", "the platform's object API does not answer"},
	{NotFound, "not found", "there is no such object"},
	{AccessDenied, "access denied", "the call needs the access token of the settings"},
	{BadAdminRequest, "bad request", "the call's parameters are not valid"},
}

// Lookup returns the description of a code; the second value is false for a
// number that is not in the table.
func Lookup(c Code) (Entry, bool) {
	for _, e := range Table {
		if e.Code == c {
			return e, true
		}
	}
	return Entry{}, false
}
