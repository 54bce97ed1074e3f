package document

import "github.com/topazrock/topazrock/internal/inifile"

// Section kinds.
const (
	sectionService   = "service"
	sectionGroup     = "group"
	sectionUser      = "user"
	sectionWorkspace = "workspace"
	sectionLimits    = "limits"
	sectionRead      = "read"
	sectionRequest   = "request"
)

// Values of the key connections of a workspace.
const (
	connectionsShared = "shared"
	connectionsOwn    = "own"
)

// Values of the key repeat.
const (
	repeatNever   = "never"
	repeatAllowed = "allowed"
)

var (
	queueRange    = inifile.Int{Min: 0, Max: maxQueueBound}
	timeoutRange  = inifile.Duration{Min: minTimeout, Max: maxTimeout}
	priorityRange = inifile.Int{Min: HighestPriority, Max: LowestPriority}
)

// schema defines all sections, keys, defaults and ranges of a service document.
var schema = inifile.Schema{
	MaxSize: MaxSize,
	Sections: []inifile.SectionRule{
		{Kind: sectionService, Required: true},
		{Kind: sectionGroup, Named: true, Required: true},
		{Kind: sectionUser, Named: true, Required: true},
		{Kind: sectionWorkspace, Named: true},
		{Kind: sectionLimits},
		{Kind: sectionRead, Named: true},
		{Kind: sectionRequest, Named: true},
	},
	Keys: []inifile.Key{
		{Section: sectionService, Name: "name", Kind: inifile.Name{}, Required: true,
			Meaning: "Name of the service. It is also the name of the document."},

		{Section: sectionGroup, Name: "members", Kind: membersKind{}, Required: true,
			Meaning: "The group's members, each with the failure domain it stands in."},
		{Section: sectionGroup, Name: "connections", Kind: inifile.Int{Min: MinMembers, Max: maxConnections}, Required: true,
			Meaning: "Hard total of connections to the group's members over all instances."},
		{Section: sectionGroup, Name: "slots", Kind: inifile.Int{Min: 1, Max: maxSlots}, Required: true,
			Meaning: "How many statements may run in the group at once, over all instances."},

		{Section: sectionUser, Name: "verifier", Kind: verifierKind{}, Required: true, Secret: true,
			Meaning: "SCRAM-SHA-256 verifier of the account's password, as PostgreSQL stores it."},
		{Section: sectionUser, Name: "workspace", Kind: optionalName{}, Default: noName,
			Meaning: "Workspace that the account's operations are run for; - for none."},

		{Section: sectionWorkspace, Name: "rate", Kind: inifile.Decimal{Max: maxRate}, Default: "0",
			Meaning: "Operations a second that may be begun for the workspace, over all instances. 0 with a burst of 0 sets no limit."},
		{Section: sectionWorkspace, Name: "burst", Kind: inifile.Decimal{Max: maxRate}, Default: "0",
			Meaning: "How many operations may be begun at once behind a pause."},
		{Section: sectionWorkspace, Name: "priority", Kind: priorityRange, Default: "5",
			Meaning: "Order among workspaces within a class: 1 goes first, 9 last."},
		{Section: sectionWorkspace, Name: "connections", Kind: inifile.Enum{connectionsShared, connectionsOwn}, Default: connectionsShared,
			Meaning: "Whether the workspace's statements share connections to members with others, or run on connections that serve it alone."},

		{Section: sectionLimits, Name: "statement_timeout", Kind: timeoutRange, Default: "10s",
			Meaning: "How long one statement may run at a member."},
		{Section: sectionLimits, Name: "request_timeout", Kind: timeoutRange, Default: "15s",
			Meaning: "Deadline of a request from arrival to answer, for classes without a timeout of their own."},
		{Section: sectionLimits, Name: "confirm_timeout", Kind: timeoutRange, Default: "2s",
			Meaning: "How long a write waits for a replica's confirmation before its outcome is reported as unknown."},
		{Section: sectionLimits, Name: "transaction_idle_timeout", Kind: timeoutRange, Default: "30s",
			Meaning: "How long an open transaction may be idle before it is rolled back."},
		{Section: sectionLimits, Name: "answer_buffer", Kind: inifile.Int{Min: minAnswerBuffer, Max: maxAnswerBuffer}, Default: "1048576",
			Meaning: "How many bytes of an answer are held before the first byte goes out."},
		{Section: sectionLimits, Name: "max_queue", Kind: queueRange, Default: "100",
			Meaning: "How many requests of one class may wait on one instance, for classes without a max_queue of their own."},

		{Section: sectionRead, Name: "max_age", Kind: inifile.Duration{Min: 0, Max: maxAgeBound}, Default: "0s",
			Meaning: "Age of the data that the read accepts. 0s means that the read must be fresh."},
		{Section: sectionRead, Name: "priority", Kind: priorityRange, Default: "5",
			Meaning: "Order in which classes get a slot: 1 goes first, 9 last."},
		{Section: sectionRead, Name: "max_queue", Kind: queueRange, Default: "0",
			Meaning: "How many requests of the class may wait on one instance. 0 means the value of [limits]."},
		{Section: sectionRead, Name: "timeout", Kind: optionalDuration{timeoutRange}, Default: "0s",
			Meaning: "Deadline of a request of the class. 0s means request_timeout of [limits]."},

		{Section: sectionRequest, Name: "repeat", Kind: inifile.Enum{repeatNever, repeatAllowed}, Required: true,
			Meaning: "Whether a request of the class may run again. A class with never needs a key on each request and runs at most once for each key."},
		{Section: sectionRequest, Name: "priority", Kind: priorityRange, Default: "5",
			Meaning: "Order in which classes get a slot: 1 goes first, 9 last."},
		{Section: sectionRequest, Name: "max_queue", Kind: queueRange, Default: "0",
			Meaning: "How many requests of the class may wait on one instance. 0 means the value of [limits]."},
		{Section: sectionRequest, Name: "timeout", Kind: optionalDuration{timeoutRange}, Default: "0s",
			Meaning: "Deadline of a request of the class. 0s means request_timeout of [limits]."},
	},
}
