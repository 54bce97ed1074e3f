package frontend

import (
	"maps"
	"slices"
	"strings"

	"github.com/topazrock/topazrock/internal/result"
)

// connectionParameters are start-up parameters that are not session values: they
// identify the user and the database. application_name is included deliberately:
// nearly every caller has a different name, and as a session value it would cost a round
// trip each time a member connection changes to another caller. Member connections use
// the instance's name.
var connectionParameters = []string{
	"user", "database", "replication", "options", "application_name", TokenParameter,
}

// protocolExtensionPrefix is the prefix of start-up parameters that request protocol
// extensions.
const protocolExtensionPrefix = "_pq_."

// listSettings are the settings whose value is a list; others have a single string.
var listSettings = []string{"search_path", "datestyle"}

// applyStartupValues sets session values from the start-up parameters, including
// options in the form -c name=value.
func (s *session) applyStartupValues(parameters map[string]string) error {
	values := make(map[string]string)
	for name, value := range parameters {
		values[strings.ToLower(name)] = value
	}
	for name, value := range parseOptions(parameters["options"]) {
		values[name] = value
	}
	for _, name := range connectionParameters {
		delete(values, name)
	}
	// Requests for protocol extensions are ignored, since none are supported.
	maps.DeleteFunc(values, func(name, _ string) bool { return strings.HasPrefix(name, protocolExtensionPrefix) })
	for _, name := range slices.Sorted(maps.Keys(values)) {
		value := values[name]
		if initial, ok := initialSettings[name]; ok && strings.EqualFold(initial, value) {
			continue
		}
		if !isSettingName(name) || slices.Contains(unsupportedSettings, name) || strings.ContainsAny(value, "\\\x00") {
			return result.New(result.NotSupported, "start-up parameter %.80q", name)
		}
		s.state.Set(name, settingLiteral(name, value))
	}
	return nil
}

// settingLiteral formats a start-up parameter's value as SQL text for SET.
func settingLiteral(name, value string) string {
	if !slices.Contains(listSettings, name) {
		return quoteLiteral(value)
	}
	items := strings.Split(value, ",")
	for i, item := range items {
		items[i] = quoteLiteral(strings.Trim(strings.TrimSpace(item), `"`))
	}
	return strings.Join(items, ", ")
}

func quoteLiteral(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }

// parseOptions parses -c name=value, -cname=value and --name=value.
func parseOptions(options string) map[string]string {
	values := make(map[string]string)
	for _, field := range strings.Fields(options) {
		field = strings.TrimPrefix(strings.TrimPrefix(field, "-c"), "--")
		if name, value, ok := strings.Cut(field, "="); ok {
			values[strings.ToLower(name)] = value
		}
	}
	return values
}
