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
		{Section: sectionService, Name: "name", Type: inifile.Name{}, Required: true,
			Description: "Name of the service. It is also the name of the document."},

		{Section: sectionGroup, Name: "members", Type: membersKind{}, Required: true,
			Description: "The group's members, each with the failure domain it stands in."},
		{Section: sectionGroup, Name: "connections", Type: inifile.Int{Min: MinMembers, Max: maxConnections}, Required: true,
			Description: "Hard total of connections to the group's members over all instances."},
		{Section: sectionGroup, Name: "slots", Type: inifile.Int{Min: 1, Max: maxSlots}, Required: true,
			Description: "How many statements may run in the group at once, over all instances."},

		{Section: sectionUser, Name: "verifier", Type: verifierKind{}, Required: true, Secret: true,
			Description: "SCRAM-SHA-256 verifier of the account's password, as PostgreSQL stores it."},
		{Section: sectionUser, Name: "workspace", Type: optionalName{}, Default: noName,
			Description: "Workspace that the account's operations are run for; - for none."},

		{Section: sectionWorkspace, Name: "rate", Type: inifile.Decimal{Max: maxRate}, Default: "0",
			Description: "Operations a second that may be begun for the workspace, over all instances. 0 with a burst of 0 sets no limit."},
		{Section: sectionWorkspace, Name: "burst", Type: inifile.Decimal{Max: maxRate}, Default: "0",
			Description: "How many operations may be begun at once behind a pause."},
		{Section: sectionWorkspace, Name: "priority", Type: priorityRange, Default: "5",
			Description: "Order among workspaces within a class: 1 goes first, 9 last."},
		{Section: sectionWorkspace, Name: "connections", Type: inifile.Enum{connectionsShared, connectionsOwn}, Default: connectionsShared,
			Description: "Whether the workspace's statements share connections to members with others, or run on connections that serve it alone."},

		{Section: sectionLimits, Name: "statement_timeout", Type: timeoutRange, Default: "10s",
			Description: "How long one statement may run at a member."},
		{Section: sectionLimits, Name: "request_timeout", Type: timeoutRange, Default: "15s",
			Description: "Deadline of a request from arrival to answer, for classes without a timeout of their own."},
		{Section: sectionLimits, Name: "confirm_timeout", Type: timeoutRange, Default: "2s",
			Description: "How long a write waits for a replica's confirmation before its outcome is reported as unknown."},
		{Section: sectionLimits, Name: "transaction_idle_timeout", Type: timeoutRange, Default: "30s",
			Description: "How long an open transaction may be idle before it is rolled back."},
		{Section: sectionLimits, Name: "answer_buffer", Type: inifile.Int{Min: minAnswerBuffer, Max: maxAnswerBuffer}, Default: "1048576",
			Description: "How many bytes of an answer are held before the first byte goes out."},
		{Section: sectionLimits, Name: "max_queue", Type: queueRange, Default: "100",
			Description: "How many requests of one class may wait on one instance, for classes without a max_queue of their own."},

		{Section: sectionRead, Name: "max_age", Type: inifile.Duration{Min: 0, Max: maxAgeBound}, Default: "0s",
			Description: "Age of the data that the read accepts. 0s means that the read must be fresh."},
		{Section: sectionRead, Name: "priority", Type: priorityRange, Default: "5",
			Description: "Order in which classes get a slot: 1 goes first, 9 last."},
		{Section: sectionRead, Name: "max_queue", Type: queueRange, Default: "0",
			Description: "How many requests of the class may wait on one instance. 0 means the value of [limits]."},
		{Section: sectionRead, Name: "timeout", Type: optionalDuration{timeoutRange}, Default: "0s",
			Description: "Deadline of a request of the class. 0s means request_timeout of [limits]."},

		{Section: sectionRequest, Name: "repeat", Type: inifile.Enum{repeatNever, repeatAllowed}, Required: true,
			Description: "Whether a request of the class may run again. A class with never needs a key on each request and runs at most once for each key."},
		{Section: sectionRequest, Name: "priority", Type: priorityRange, Default: "5",
			Description: "Order in which classes get a slot: 1 goes first, 9 last."},
		{Section: sectionRequest, Name: "max_queue", Type: queueRange, Default: "0",
			Description: "How many requests of the class may wait on one instance. 0 means the value of [limits]."},
		{Section: sectionRequest, Name: "timeout", Type: optionalDuration{timeoutRange}, Default: "0s",
			Description: "Deadline of a request of the class. 0s means request_timeout of [limits]."},
	},
}
