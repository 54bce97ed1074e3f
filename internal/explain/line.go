package explain

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
	"time"
)

// logLine holds those fields of a log line that reports use. The JSON names are the field
// keys in the logs of instances; see docs/OPERATIONS.md.
type logLine struct {
	Message   string `json:"@message"`
	Level     string `json:"@level"`
	Module    string `json:"@module"`
	Timestamp string `json:"@timestamp"`
	Instance  string `json:"instance"`
	Group     string `json:"group"`
	Class     string `json:"class"`
	Code      string `json:"code"`
	Error     string `json:"error"`
	Request   string `json:"request"`
	Member    string `json:"member"`
	Cause     string `json:"cause"`
	// Reason is why a member was ejected.
	Reason    string `json:"reason"`
	Workspace string `json:"workspace"`
	// RefusedByRank is how many operations of a workspace were refused at its limit, by rank.
	RefusedByRank string `json:"refused_by_rank"`
	// Kind is a kind of the platform's objects, and Era an era of its store.
	Kind string `json:"kind"`
	Era  int64  `json:"era"`
	// FailureDomain is set only in the line that an instance logs when it starts.
	FailureDomain string `json:"failure_domain"`
	usageFields

	// offset is the time in the prefix or, without one, the time since the first line.
	offset time.Duration
	// writer is the ID of the instance that wrote the line.
	writer string
}

// lineParser parses log lines. One stream may contain lines of several instances.
type lineParser struct {
	firstTimestamp time.Time
	// lastInstance is the instance named most recently by a line without prefix.
	lastInstance string
}

// parseLine parses one line: a JSON object with an optional prefix. The last word of the
// prefix is the instance's ID. If the prefix has several words, the first may be the time
// in seconds. parseLine returns false if the line has another form.
func (p *lineParser) parseLine(text []byte) (logLine, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return logLine{}, false
	}
	var l logLine
	if err := json.Unmarshal(text[start:], &l); err != nil || l.Message == "" {
		return logLine{}, false
	}
	prefix := strings.Fields(string(text[:start]))
	l.writer = p.instanceOf(l, prefix)
	l.offset = p.offsetOf(l, prefix)
	return l, true
}

func (p *lineParser) instanceOf(l logLine, prefix []string) string {
	if len(prefix) > 0 {
		return prefix[len(prefix)-1]
	}
	if l.Instance != "" {
		p.lastInstance = l.Instance
	}
	return p.lastInstance
}

// offsetOf returns the time in the prefix or, without one, the time of the line's own
// timestamp relative to the first timestamp that was read.
func (p *lineParser) offsetOf(l logLine, prefix []string) time.Duration {
	if len(prefix) > 1 {
		if seconds, err := strconv.ParseFloat(prefix[0], 64); err == nil {
			return time.Duration(seconds * float64(time.Second))
		}
	}
	timestamp, err := time.Parse(time.RFC3339Nano, l.Timestamp)
	if err != nil {
		return 0
	}
	if p.firstTimestamp.IsZero() {
		p.firstTimestamp = timestamp
	}
	return timestamp.Sub(p.firstTimestamp)
}
