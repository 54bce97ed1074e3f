package settings

import (
	"errors"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/inifile"
)

const minimal = `[instance]
id = e1
failure_domain = poa-a
region = sul-br
[caller]
address = 127.0.0.1:6432
[peer]
address = 127.0.0.1:6433
[admin]
address = 127.0.0.1:6434
[platform]
url = http://127.0.0.1:7000/
[upstream]
user = topazrock
`

func TestLoadExampleFile(t *testing.T) {
	is := is.New(t)
	s, err := Load(filepath.Join("..", "..", "examples", "instance.ini"))
	is.NoErr(err)
	is.Equal(s.Instance, Instance{ID: "entry-poa-a-1", FailureDomain: "poa-a", Region: "sul-br"})
}

func TestDefaults(t *testing.T) {
	is := is.New(t)
	s, err := Parse("i.ini", []byte(minimal))
	is.NoErr(err)
	is.Equal(s.Caller, Caller{Address: "127.0.0.1:6432", Wire: WirePostgreSQL, MaxCallers: 5000, StartupTimeout: 10 * time.Second})
	is.Equal(s.Platform, Platform{URL: "http://127.0.0.1:7000", Timeout: 2 * time.Second})
	is.Equal(s.Upstream, Upstream{User: "topazrock", ApplicationName: "topazrock"})
	is.Equal(s.Homes.PerFailureDomain, 1)
	is.Equal(s.Log, Log{Level: "info", Format: FormatText})
	is.Equal(s.Admin.AccessToken, "")
	is.Equal(len(s.Peer.Seeds), 0)
}

func TestSeeds(t *testing.T) {
	is := is.New(t)
	s, err := Parse("i.ini", []byte(strings.Replace(minimal, "[admin]", "seeds = 10.0.0.1:6433, 10.0.0.2:6433\n[admin]", 1)))
	is.NoErr(err)
	is.Equal(s.Peer.Seeds, []string{"10.0.0.1:6433", "10.0.0.2:6433"})
	_, err = Parse("i.ini", []byte(strings.Replace(minimal, "[admin]", "seeds = host:6433\n[admin]", 1)))
	is.True(strings.Contains(err.Error(), `i.ini:9: [peer] seeds = "host:6433": "host:6433": not an IP address and port; allowed: up to 32 of IP:port`))
}

func TestParseReportsAllProblems(t *testing.T) {
	is := is.New(t)
	text := strings.NewReplacer("6434", "6433", "http://127.0.0.1:7000/", "http://platform:7000", "user = topazrock", "user =\nport = 1").Replace(minimal)
	_, err := Parse("i.ini", []byte(text))
	var problems inifile.Problems
	is.True(errors.As(err, &problems))
	want := []string{
		`i.ini:10: [admin] address = "127.0.0.1:6433": the address is taken by [peer]; allowed: an address of its own`,
		`i.ini:12: [platform] url = "http://platform:7000": not the URL of an IP address and port; allowed: http://IP:port or https://IP:port`,
		`i.ini:14: [upstream] user: the value is empty; allowed: up to 63 bytes`,
		`i.ini:15: [upstream] port: unknown key; allowed: user, password, application_name`,
	}
	is.Equal(err.Error(), strings.Join(want, "\n"))
}

func TestLoadReportsMissingFile(t *testing.T) {
	is := is.New(t)
	_, err := Load(filepath.Join(t.TempDir(), "none.ini"))
	is.True(err != nil)
}
