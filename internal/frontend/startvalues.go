package frontend

import (
	"maps"
	"slices"
	"strings"

	"github.com/topazrock/topazrock/internal/result"
)

// connectionParameters are start-up parameters that are no session values: they
// say who connects and where to. The application's name is left out on purpose:
// nearly every caller has its own, and each change of caller on a connection to a
// member would cost a round trip. The instance's own name stands there.
var connectionParameters = []string{
	"user", "database", "replication", "options", "application_name", TokenParameter,
}

// protocolOption begins the names of start-up parameters that are the protocol's own.
const protocolOption = "_pq_."

// listSettings take a list where others take one text.
var listSettings = []string{"search_path", "datestyle"}

// takeValues takes session values from the start-up parameters, and from options
// in the form -c name=value.
func (n *session) takeValues(parameters map[string]string) error {
	values := make(map[string]string)
	for name, value := range parameters {
		values[strings.ToLower(name)] = value
	}
	for name, value := range optionValues(parameters["options"]) {
		values[name] = value
	}
	for _, name := range connectionParameters {
		delete(values, name)
	}
	// Names of this form ask for extensions of the protocol, of which there are none.
	maps.DeleteFunc(values, func(name, _ string) bool { return strings.HasPrefix(name, protocolOption) })
	for _, name := range slices.Sorted(maps.Keys(values)) {
		value := values[name]
		if initial, ok := initialSettings[name]; ok && strings.EqualFold(initial, value) {
			continue
		}
		if !isSettingName(name) || slices.Contains(unkeptSettings, name) || strings.ContainsAny(value, "\\\x00") {
			return result.New(result.NotSupported, "start-up parameter %.80q", name)
		}
		n.state.Set(name, settingText(name, value))
	}
	return nil
}

// settingText writes a start-up parameter's value as SET has it.
func settingText(name, value string) string {
	if !slices.Contains(listSettings, name) {
		return quoteText(value)
	}
	items := strings.Split(value, ",")
	for i, item := range items {
		items[i] = quoteText(strings.Trim(strings.TrimSpace(item), `"`))
	}
	return strings.Join(items, ", ")
}

func quoteText(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }

// optionValues reads -c name=value, -cname=value and --name=value.
func optionValues(options string) map[string]string {
	values := make(map[string]string)
	for _, field := range strings.Fields(options) {
		field = strings.TrimPrefix(strings.TrimPrefix(field, "-c"), "--")
		if name, value, ok := strings.Cut(field, "="); ok {
			values[strings.ToLower(name)] = value
		}
	}
	return values
}
