package frontend

import (
	"testing"

	"github.com/matryer/is"
)

// The settings that are applied before other statements on a shared connection come from
// a caller. Only text that is certain to be a single value per setting is accepted: a
// second statement hidden in it would run in another caller's session.
func TestParseSettingsAcceptsOnlyPlainValues(t *testing.T) {
	is := is.New(t)
	for sql, want := range map[string][]setting{
		"SET a = 1":                             {{"a", "1"}},
		"/* x */ set session A.b to 'x y';":     {{"a.b", "'x y'"}},
		`SET search_path = "$user", public`:     {{"search_path", `"$user", public`}},
		"SET TIME ZONE -3; RESET b":             {{"timezone", "-3"}, {"b", ""}},
		"SET a TO DEFAULT":                      {{"a", ""}},
		"RESET ALL":                             {{"all", ""}},
		"DISCARD ALL;":                          {{"all", ""}},
		"SET a = 'x' /*request='pay',key='1'*/": {{"a", "'x'"}},
	} {
		changes, isSettings, err := parseSettings(sql)
		is.NoErr(err)
		is.True(isSettings)
		is.Equal(changes, want)
	}
	for _, sql := range []string{
		"SET a = ''; DROP TABLE kv", "SET a = 'x' 'y'", "SET a = 'it''s'", `SET a = 'b\'`, "SET a = E'x'", "SET a = $$x$$",
		"SET a", "SET a =", "SET a = ,", "SET a = b c", "SET = 1", "SET a = 1 -- x", "SET a = '", "SET a. = 1", "SET all = 1",
		"SET SESSION", "SET ROLE x", "SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY", "SET 1a = 1", "SET a = (1)",
		"RESET SESSION AUTHORIZATION", "SET topazrock.token = 'x'; SET a = 1", "RESET role", "SET a = --x", "SET a = x--y", "SET +a = 1",
	} {
		changes, isSettings, err := parseSettings(sql)
		is.True(isSettings)
		if err == nil {
			t.Errorf("%s: accepted as %v", sql, changes)
		}
	}
	for _, sql := range []string{"SELECT 1", "SET LOCAL a = 1", "SET TRANSACTION READ ONLY", "", "DISCARD PLANS", "SETTLE x"} {
		_, isSettings, err := parseSettings(sql)
		is.NoErr(err)
		is.True(!isSettings)
	}
}

// FuzzSettings searches for a text that is accepted as settings but contains a character
// that could end a value early.
func FuzzSettings(f *testing.F) {
	for _, sql := range []string{"SET a = 'x', \"y\"; RESET b", "SET TIME ZONE 'UTC'", "SET a = 'x\\'; SELECT 1"} {
		f.Add(sql)
	}
	f.Fuzz(func(t *testing.T, sql string) {
		changes, _, err := parseSettings(sql)
		if err != nil {
			return
		}
		for _, c := range changes {
			if !isSettingName(c.name) {
				t.Fatalf("%q gives the name %q", sql, c.name)
			}
			if c.value == "" {
				continue
			}
			// The statement that is sent to a member must parse to the same single change.
			reparsed, ok, err := parseSettings("SET " + c.name + " = " + c.value)
			if err != nil || !ok || len(reparsed) != 1 || reparsed[0] != c {
				t.Fatalf("%q gives %v, which parses as %v, error %v", sql, c, reparsed, err)
			}
		}
	})
}
