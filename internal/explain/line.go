package explain

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
	"time"
)

// line is a log line as far as it is looked at. The names are those that instances
// write; see docs/OPERATIONS.md.
type line struct {
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
	// FailureDomain is told by the line of an instance's start.
	FailureDomain string `json:"failure_domain"`

	// at is when the line was written, from the first line on.
	at time.Duration
	// source is the instance that wrote it.
	source string
}

// parser reads lines of several instances in one stream.
type parser struct {
	first time.Time
	// named is the instance that a file's own lines named last.
	named string
}

// parse reads one line: a JSON object, alone or behind words of which the last names the
// instance, and of which the first may be its time in seconds. False for anything else.
func (p *parser) parse(text []byte) (line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return line{}, false
	}
	var l line
	if err := json.Unmarshal(text[start:], &l); err != nil || l.Message == "" {
		return line{}, false
	}
	words := strings.Fields(string(text[:start]))
	l.source = p.sourceOf(l, words)
	l.at = p.timeOf(l, words)
	return l, true
}

func (p *parser) sourceOf(l line, words []string) string {
	if len(words) > 0 {
		return words[len(words)-1]
	}
	if l.Instance != "" {
		p.named = l.Instance
	}
	return p.named
}

// timeOf returns the time in front of the line, or that of its own stamp counted from
// the first stamp that was read.
func (p *parser) timeOf(l line, words []string) time.Duration {
	if len(words) > 1 {
		if seconds, err := strconv.ParseFloat(words[0], 64); err == nil {
			return time.Duration(seconds * float64(time.Second))
		}
	}
	at, err := time.Parse(time.RFC3339Nano, l.Timestamp)
	if err != nil {
		return 0
	}
	if p.first.IsZero() {
		p.first = at
	}
	return at.Sub(p.first)
}
