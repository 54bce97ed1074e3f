package settings

import (
	"slices"
	"time"

	"github.com/topazrock/topazrock/internal/features"
	"github.com/topazrock/topazrock/internal/inifile"
)

const (
	maxSize         = 64 << 10
	maxCallers      = 200_000
	maxHomes        = 64
	maxSecretLength = 1024

	minStartupTimeout  = 100 * time.Millisecond
	maxStartupTimeout  = 5 * time.Minute
	minPlatformTimeout = 10 * time.Millisecond
	maxPlatformTimeout = time.Minute
	minDrain           = 500 * time.Millisecond
	maxDrain           = 10 * time.Minute
	minClose           = 100 * time.Millisecond
	maxMemoryMB        = 1 << 20
	maxCores           = 1024
	maxDeclared        = 64

	minQuotaWindow  = 100 * time.Millisecond
	maxQuotaWindow  = time.Hour
	maxQuotaOverage = 1
	maxQuotaSlack   = 1_000_000
)

// schema defines the sections, keys, defaults and ranges of a settings file.
// The parser uses it, and a test compares the operator documentation with it.
var schema = inifile.Schema{
	MaxSize: maxSize,
	Sections: []inifile.SectionRule{
		{Kind: "instance", Required: true}, {Kind: "caller", Required: true}, {Kind: "peer", Required: true},
		{Kind: "admin", Required: true}, {Kind: "platform", Required: true}, {Kind: "upstream", Required: true},
		{Kind: "homes"}, {Kind: "ready"}, {Kind: "metrics"}, {Kind: "promotion"}, {Kind: "drain"}, {Kind: "process"}, {Kind: "quota"}, {Kind: "load"}, {Kind: "features"}, {Kind: "log"},
	},
	Keys: slices.Concat([]inifile.Key{
		{Section: "instance", Name: "id", Type: inifile.Name{}, Required: true,
			Description: "Name of the instance, unique in the platform's instance list."},
		{Section: "instance", Name: "failure_domain", Type: inifile.Name{}, Required: true,
			Description: "Failure domain that the instance stands in."},
		{Section: "instance", Name: "region", Type: inifile.Name{}, Required: true,
			Description: "Region that the failure domain belongs to."},

		{Section: "caller", Name: "address", Type: inifile.Address{}, Required: true,
			Description: "Where callers connect."},
		{Section: "caller", Name: "wire", Type: inifile.Enum{WirePostgreSQL, WireLine}, Default: WirePostgreSQL,
			Description: "Protocol that callers and members speak."},
		{Section: "caller", Name: "max_callers", Type: inifile.Int{Min: 1, Max: maxCallers}, Default: "5000",
			Description: "How many caller connections may be open."},
		{Section: "caller", Name: "startup_timeout", Type: inifile.Duration{Min: minStartupTimeout, Max: maxStartupTimeout}, Default: "10s",
			Description: "Time from accepting a caller's connection to the end of its authentication."},

		{Section: "peer", Name: "address", Type: inifile.Address{}, Required: true,
			Description: "Where other instances connect."},
		{Section: "peer", Name: "seeds", Type: addressList{},
			Description: "Peer addresses, parted by commas, that are asked for documents when the instance starts while the platform is down. May be empty."},

		{Section: "admin", Name: "address", Type: inifile.Address{}, Required: true,
			Description: "Where the administration API, health and metrics are served."},
		{Section: "admin", Name: "access_token", Type: inifile.Text{Max: maxSecretLength}, Secret: true,
			Description: "Token for calls that change something. Empty: such calls are accepted from loopback only."},

		{Section: "platform", Name: "url", Type: baseURL{}, Required: true,
			Description: "Base URL of the platform."},
		{Section: "platform", Name: "timeout", Type: inifile.Duration{Min: minPlatformTimeout, Max: maxPlatformTimeout}, Default: "2s",
			Description: "Time for one call to the platform, apart from a waiting watch."},

		{Section: "upstream", Name: "user", Type: requiredText, Required: true,
			Description: "Account for connections to members."},
		{Section: "upstream", Name: "password", Type: inifile.Text{Max: maxSecretLength}, Secret: true,
			Description: "Password of the account."},
		{Section: "upstream", Name: "application_name", Type: inifile.Text{Max: inifile.MaxNameLength}, Default: "topazrock",
			Description: "Application name that members see."},

		{Section: "homes", Name: "per_failure_domain", Type: inifile.Int{Min: 1, Max: maxHomes}, Default: "1",
			Description: "How many instances of each failure domain hold a group's connections."},

		{Section: "ready", Name: "address", Type: optional{inifile.Address{}},
			Description: "Where the balancer's readiness probe is answered, apart from the administration API. May be empty."},

		{Section: "metrics", Name: "address", Type: optional{inifile.Address{}},
			Description: "Where metrics are served besides the administration API, for a collector that knows one port. May be empty."},

		{Section: "promotion", Name: "url", Type: optional{baseURL{}},
			Description: "Base URL of the service that appoints primaries, for members that do not take the order themselves. May be empty."},

		{Section: "drain", Name: "linger", Type: inifile.Duration{Max: maxDrain}, Default: "0s",
			Description: "Time from the start of a graceful shutdown in which new callers are still served, because the balancer has not seen it yet."},
		{Section: "drain", Name: "timeout", Type: inifile.Duration{Min: minDrain, Max: maxDrain}, Default: "30s",
			Description: "Time from the start of a graceful shutdown in which running requests may end; the rest is cut off and its callers are told."},
		{Section: "drain", Name: "close_timeout", Type: inifile.Duration{Min: minClose, Max: maxDrain}, Default: "2s",
			Description: "Time after that in which connections are closed and shares are given back; the process then ends in any case."},

		{Section: "process", Name: "memory_mb", Type: inifile.Int{Max: maxMemoryMB}, Default: "0",
			Description: "Memory that the process may use, in megabytes; 0 sets no bound."},

		{Section: "process", Name: "core_share", Type: inifile.Decimal{Max: 1}, Default: "0",
			Description: "Part of each processor core that the process may use; 0 if it is not known."},
		{Section: "process", Name: "cores", Type: inifile.Int{Min: 1, Max: maxCores}, Default: "1",
			Description: "How many processor cores the process may use."},

		{Section: "quota", Name: "window", Type: inifile.Duration{Min: minQuotaWindow, Max: maxQuotaWindow}, Default: "5s",
			Description: "Time over which the operations of a workspace are held against its limit."},
		{Section: "quota", Name: "overage", Type: inifile.Decimal{Max: maxQuotaOverage}, Default: "0",
			Description: "Part of the limit by which the operations in a window may pass it. Some of it deepens the buckets and lets instances hold tokens ahead, so that fewer operations below the limit are refused or wait."},
		{Section: "quota", Name: "slack", Type: inifile.Int{Max: maxQuotaSlack}, Default: "0",
			Description: "Number of operations by which those in a window may pass the limit besides; of use to workspaces with small limits."},

		{Section: "load", Name: "declared", Type: wordList{},
			Description: "What the deployment's operator declares of its load, in the platform's words, parted by commas. May be empty; words that are not known are ignored."},
	}, featureKeys(), []inifile.Key{
		{Section: "log", Name: "level", Type: inifile.Enum{"trace", "debug", "info", "warn", "error"}, Default: "info",
			Description: "Least important level that is logged."},
		{Section: "log", Name: "format", Type: inifile.Enum{FormatText, FormatJSON}, Default: FormatText,
			Description: "Form of a log line."},
	}),
}

// featureDescriptions holds the meaning of each feature's key.
var featureDescriptions = map[features.Feature]string{
	features.MemberHealth:      "Health of members by the outcome of their statements. auto: on where members' entries name their start.",
	features.FailingPrimary:    "Replacement of a primary that answers status requests and fails its statements. auto: on where members' entries name their start.",
	features.FairWorkspaces:    "Fair order among the workspaces that wait for a member. auto: on where scarce capacity is declared.",
	features.UrgentTokens:      "Tokens of a workspace's limit go to its more urgent classes first. auto: on where scarce capacity is declared.",
	features.ConnectionReserve: "Connections of each member that stay free for a restart of all instances. auto: on where scarce capacity is declared.",
	features.ConnectionCost:    "Connections are kept by the openings that their loss is expected to cost. auto: on where scarce capacity is declared.",
	features.SharedHomes:       "One home of all failure domains serves a small workspace that has connections of its own. auto: off.",
	features.HomeBalancing:     "Units go to the home that is expected to serve them first. auto: on where scarce capacity is declared or instances have three or more capacities.",
	features.CallerDisconnects: "The wait of a unit ends when its caller disconnects. auto: on where scarce capacity is declared.",
}

// featureKeys returns the keys of the section features.
func featureKeys() []inifile.Key {
	var keys []inifile.Key
	for _, f := range features.All() {
		keys = append(keys, inifile.Key{
			Section: "features", Name: string(f), Default: string(features.ModeAuto),
			Type:        inifile.Enum{string(features.ModeAuto), string(features.ModeOn), string(features.ModeOff)},
			Description: featureDescriptions[f],
		})
	}
	return keys
}

// Key describes one settings key for the operator documentation.
type Key = inifile.KeyDoc

// Keys returns every key in the order of the operator documentation.
func Keys() []Key { return schema.KeyDocs() }
