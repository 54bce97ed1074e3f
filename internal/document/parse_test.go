package document

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/consistency"
	"github.com/topazrock/topazrock/internal/inifile"
)

const testVerifier = "SCRAM-SHA-256$4096:y0dInoy2hw+boGs4hM65eQ==$3SpBj+j6yTi73e/dAhqtXEWaTZOtGBZeNNnGI3sGNh8=:n+SNdInED24RgrJW/aqIICRzLDB52sPposD4v52R36w="

const minimalDocument = `[service]
name = orders
[group orders]
members = a/10.0.0.1:5432, b/10.0.0.2:5432, c/10.0.0.3:5432
connections = 10
slots = 2
[user app]
verifier = ` + testVerifier + "\n"

func TestExamplesParse(t *testing.T) {
	is := is.New(t)
	for name, connections := range map[string]int{"base-ligacoes": 35, "subs-core": 55} {
		file := filepath.Join("..", "..", "examples", name+".ini")
		text, err := os.ReadFile(file)
		is.NoErr(err)
		s, err := Parse(file, text)
		is.NoErr(err)
		is.Equal(s.Name, name)
		is.Equal(len(s.Groups), 3)
		for _, g := range s.Groups {
			is.Equal(len(g.Members), 3)
			is.Equal(g.Connections, connections)
			is.Equal(g.Slots, 5)
		}
		for _, class := range []string{"submission", "fee-payment", "renewal"} {
			if w, ok := s.FindRequestClass(class); ok {
				is.True(w.AtMostOnce)
			}
		}
	}
}

func TestDefaults(t *testing.T) {
	is := is.New(t)
	s, err := Parse("orders.ini", []byte(minimalDocument+"[read recent]\nmax_age = 5s ; seconds\n"))
	is.NoErr(err)
	is.Equal(s.Limits.RequestTimeout, 15*time.Second)
	is.Equal(s.ReadClasses, []ReadClass{{Name: "recent", Consistency: consistency.WithinAge(5 * time.Second), Priority: 5}})
	is.Equal(s.Groups[0].Members[1], Member{Address: "10.0.0.2:5432", FailureDomain: "b"})
	is.Equal(s.Users[0].Verifier, testVerifier)
}

// A document with several mistakes is rejected with all of them at once, each
// with its line, so that the operator can fix them in one pass.
func TestAllProblemsAreReportedAtOnce(t *testing.T) {
	is := is.New(t)
	text := `stray = 1
[service]
name = Orders
[group orders]
members = a/10.0.0.1:5432, b/host:5432, c/10.0.0.3:5432
connections = 1
slots = many
slots = 3
colour = red
[group orders]
[user app]
verifier = secret-text
[request pay]
repeat = sometimes
priority = 0
[read pay]
timeout = 1ms
[extra]
half a line
[broken
name = x
`
	_, err := Parse("orders.ini", []byte(text))
	var problems inifile.Problems
	is.True(errors.As(err, &problems))
	want := []string{
		`orders.ini:1: key "stray" stands before the first section`,
		`orders.ini:3: [service] name = "Orders": not a name; allowed: 1 to 63 of`,
		`orders.ini:5: [group orders] members = "a/10.0.0.1:5432, b/host:5432, c/10.0.0.3:5432": member "b/host:5432": not an IP address and port; allowed: 3 to 9 of`,
		`orders.ini:6: [group orders] connections = "1": out of range; allowed: 3 to 10000`,
		`orders.ini:7: [group orders] slots = "many": not a whole number; allowed: 1 to 1000`,
		`orders.ini:8: [group orders] slots: the key stands twice, first in line 7`,
		`orders.ini:9: [group orders] colour: unknown key; allowed: members, connections, slots`,
		`orders.ini:10: [group orders]: the section stands twice, first in line 4`,
		`orders.ini:12: [user app] verifier: not a SCRAM-SHA-256 verifier; allowed:`,
		`orders.ini:13: [request pay]: a read class has the same name`,
		`orders.ini:14: [request pay] repeat = "sometimes": not one of the allowed words; allowed: never or allowed`,
		`orders.ini:15: [request pay] priority = "0": out of range; allowed: 1 to 9`,
		`orders.ini:17: [read pay] timeout = "1ms": out of range; allowed: 0s or 10ms to 10m0s`,
		`orders.ini:18: [extra]: unknown section; allowed: [service], [group NAME]`,
		`orders.ini:19: "half a line" is neither a section nor key = value`,
		`orders.ini:20: "[broken" is not a section header`,
	}
	is.Equal(len(problems), len(want))
	for i, p := range problems {
		if !strings.HasPrefix(p.String(), want[i]) {
			t.Errorf("problem %d:\n got %s\nwant %s", i, p, want[i])
		}
	}
}

func TestChecksAcrossKeys(t *testing.T) {
	base := minimalDocument
	cases := map[string]struct{ text, want string }{
		"connections for control only": {strings.Replace(base, "connections = 10", "connections = 3", 1), "too few for the members; allowed: 4 to 10000"},
		"more slots than connections":  {strings.Replace(base, "slots = 2", "slots = 11", 1), "more slots than connections; allowed: 1 to 10"},
		"shared member":                {base + "[group other]\nmembers = a/10.0.0.1:5432, b/10.0.0.8:5432, c/10.0.0.9:5432\nconnections = 5\nslots = 1\n", "member 10.0.0.1:5432 belongs to group orders"},
		"confirm past request":         {base + "[limits]\nconfirm_timeout = 20s\n", "longer than request_timeout; allowed: up to 15s"},
		"no group":                     {"[service]\nname = x\n[user a]\nverifier = " + testVerifier, "[group]: the section is missing"},
		"member twice":                 {strings.Replace(base, "10.0.0.2", "10.0.0.1", 1), "member 10.0.0.1:5432 stands twice"},
		"missing key":                  {base + "[request pay]\n", "orders.ini:9: [request pay] repeat: the key is missing; allowed: never or allowed"},
		"nameless":                     {base + "[read]\n", "the section needs a name"},
		"needless name":                {base + "[limits x]\n", "the section takes no name"},
		"control character":            {base + "[read a\x00b]\n", "control character"},
		"not UTF-8":                    {base + "[read a\xff]\n", "not valid UTF-8"},
		"multi-line value":             {base + "[read r]\nmax_age = \"\"\"1s\n", "over several lines"},
		"too large":                    {base + strings.Repeat("# padding\n", MaxSize/10), "allowed: up to 262144 bytes"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("orders.ini", []byte(c.text))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Fatalf("got %v\nwant %s", err, c.want)
			}
		})
	}
}

func TestEveryKeyIsDescribed(t *testing.T) {
	is := is.New(t)
	for _, k := range Keys() {
		is.True(k.Description != "")
		is.True(k.Allowed != "")
		is.True(k.Required || k.Default != "")
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(minimalDocument))
	f.Add([]byte("[service]\nname=x\n[read a]\nmax_age=\"1s\" ; c\n"))
	f.Add([]byte("\xef\xbb\xbf[group a]\r\nmembers=`a\n`\n[]\n[a]b]\n=\n-=1\n%(x)s=y\n"))
	for _, name := range []string{"base-ligacoes", "subs-core"} {
		text, err := os.ReadFile(filepath.Join("..", "..", "examples", name+".ini"))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse("fuzz.ini", text)
		if err != nil {
			checkProblems(t, err, strings.Count(string(text), "\n")+1)
			return
		}
		if s.Name == "" || len(s.Groups) == 0 || len(s.Users) == 0 {
			t.Fatalf("accepted an incomplete document: %+v", s)
		}
		for _, g := range s.Groups {
			if len(g.Members) < MinMembers || g.Slots < 1 || g.Slots > g.Connections {
				t.Fatalf("accepted a faulty group: %+v", g)
			}
		}
	})
}

func checkProblems(t *testing.T, err error, lines int) {
	var problems inifile.Problems
	if !errors.As(err, &problems) || len(problems) == 0 {
		t.Fatalf("untyped error: %v", err)
	}
	for _, p := range problems {
		if p.Line < 1 || p.Line > lines || strings.Contains(p.String(), "\n") {
			t.Fatalf("bad problem: %q", p)
		}
	}
}
