package settings

import (
	"fmt"
	"os"

	"github.com/topazrock/topazrock/internal/features"
	"github.com/topazrock/topazrock/internal/inifile"
)

// Load reads and checks a settings file.
func Load(file string) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(file, text)
}

// Parse parses and checks settings. The error is an inifile.Problems with all
// problems, which name fileName as their file.
func Parse(fileName string, text []byte) (*Settings, error) {
	f := inifile.Read(&schema, fileName, text)
	checkAddresses(f)
	if err := f.Err(); err != nil {
		return nil, err
	}
	return newSettings(f), nil
}

func newSettings(f *inifile.File) *Settings {
	section := func(kind string) *inifile.Section { return f.FirstSection(&schema, kind) }
	instance, caller, upstream := section("instance"), section("caller"), section("upstream")
	seeds, _ := section("peer").Value("seeds").([]string)
	declared, _ := section("load").Value("declared").([]string)
	return &Settings{
		Instance: Instance{ID: instance.String("id"), FailureDomain: instance.String("failure_domain"),
			Region: instance.String("region")},
		Caller: Caller{Address: caller.String("address"), Wire: caller.String("wire"), MaxCallers: caller.Int("max_callers"),
			StartupTimeout: caller.Duration("startup_timeout")},
		Peer:     Peer{Address: section("peer").String("address"), Seeds: seeds},
		Admin:    Admin{Address: section("admin").String("address"), AccessToken: section("admin").String("access_token")},
		Platform: Platform{URL: section("platform").String("url"), Timeout: section("platform").Duration("timeout")},
		Upstream: Upstream{User: upstream.String("user"), Password: upstream.String("password"),
			ApplicationName: upstream.String("application_name")},
		Homes:     Homes{PerFailureDomain: section("homes").Int("per_failure_domain")},
		Ready:     Readiness{Address: section("ready").String("address")},
		Metrics:   Metrics{Address: section("metrics").String("address")},
		Promotion: Promotion{URL: section("promotion").String("url")},
		Drain: Drain{
			Linger:       section("drain").Duration("linger"),
			Timeout:      section("drain").Duration("timeout"),
			CloseTimeout: section("drain").Duration("close_timeout"),
		},
		Process: Process{
			MemoryMB:  section("process").Int("memory_mb"),
			CoreShare: section("process").Decimal("core_share"),
			Cores:     section("process").Int("cores"),
		},
		Quota: Quota{Window: section("quota").Duration("window"), Overage: section("quota").Decimal("overage"),
			Slack: section("quota").Int("slack")},
		Load:     ExpectedLoad{Declared: declared},
		Features: featureModes(section("features")),
		Log:      Log{Level: section("log").String("level"), Format: section("log").String("format")},
	}
}

// featureModes returns the mode of each feature.
func featureModes(s *inifile.Section) features.Modes {
	modes := make(features.Modes)
	for _, f := range features.All() {
		modes[f] = features.Mode(s.String(string(f)))
	}
	return modes
}

// checkAddresses reports listeners that share an address.
func checkAddresses(f *inifile.File) {
	usedBy := make(map[string]string)
	for _, kind := range []string{"caller", "peer", "admin", "ready", "metrics"} {
		s := f.FirstSection(&schema, kind)
		address := s.String("address")
		if address == "" {
			continue
		}
		if other, used := usedBy[address]; used {
			f.AddKeyProblem(s, "address", "the address is taken by ["+other+"]", "an address of its own")
		}
		usedBy[address] = kind
	}
}
