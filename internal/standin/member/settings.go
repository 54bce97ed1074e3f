package member

import (
	"maps"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/topazrock/topazrock/internal/member"
)

// defaultSettings are the known settings with their default values. As in
// PostgreSQL, a name with a dot can be set without being known.
var defaultSettings = map[string]string{
	"search_path":       "public",
	"timezone":          "UTC",
	"datestyle":         "ISO, MDY",
	"client_encoding":   "UTF8",
	"work_mem":          "4MB",
	"statement_timeout": "0",
	"application_name":  "",
}

// reportedSettings maps the settings whose changes are reported to the client to the
// names used in ParameterStatus.
var reportedSettings = map[string]string{
	"timezone":         "TimeZone",
	"datestyle":        "DateStyle",
	"client_encoding":  "client_encoding",
	"application_name": "application_name",
}

// setSetting runs SET. A session setting remains until it is set again. SET LOCAL is
// only validated: it has no effect, not even on SHOW.
func (s *session) setSetting(st *statement, args []string) error {
	if _, known := defaultSettings[st.name]; !known && !strings.Contains(st.name, ".") {
		return unknownSettingError(st.name)
	}
	if st.local {
		return nil
	}
	var values []string
	for _, o := range st.args {
		values = append(values, o.value(args))
	}
	if s.tx != nil && s.explicit && s.settingsBeforeTransaction == nil {
		s.settingsBeforeTransaction = maps.Clone(s.settings)
	}
	s.changeSetting(st.name, strings.Join(values, ", "))
	return nil
}

// resetSetting runs RESET, for one setting or for all.
func (s *session) resetSetting(name string) {
	if name != "all" {
		s.changeSetting(name, defaultSettings[name])
		return
	}
	for name := range s.settings {
		s.changeSetting(name, defaultSettings[name])
	}
}

func (s *session) changeSetting(name, value string) {
	if s.settings[name] == value {
		return
	}
	s.settings[name] = value
	if reportedName := reportedSettings[name]; reportedName != "" {
		s.backend.Send(&pgproto3.ParameterStatus{Name: reportedName, Value: value})
	}
}

// endSettingChanges completes the setting changes of a transaction: a rollback
// reverts them.
func (s *session) endSettingChanges(rollback bool) {
	previous := s.settingsBeforeTransaction
	s.settingsBeforeTransaction = nil
	if rollback && previous != nil {
		s.settings = previous
	}
}

func (s *session) showSetting(st *statement) (*result, error) {
	value, ok := s.settings[st.name]
	if st.name == "transaction_read_only" {
		value, ok = "on", true
		if s.node.Status().Role == member.RolePrimary {
			value = "off"
		}
	}
	if !ok {
		return nil, unknownSettingError(st.name)
	}
	return rowsResult(st.columns, []string{value}), nil
}

func unknownSettingError(name string) error {
	return &sqlError{stateUnknownSetting, "unrecognized configuration parameter \"" + name + "\""}
}
