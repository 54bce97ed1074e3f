package explain

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// messageRefused is the line that an instance writes for each answer with a result code.
const messageRefused = "Request was refused."

// beliefs are the lines that say what an instance came to believe.
var beliefs = map[string]bool{
	"Member does not answer.": true, "Member answers again.": true, "Too few replicas get on.": true,
	"Replicas get on again.": true, "Term rose.": true, "Primary found.": true, "Term claimed.": true,
	"Member is promoted.": true, "Primary replaced.": true, "Others reach the primary.": true, "Claim failed.": true,
	"Claimed term was left.": true, "The platform does not answer.": true, "The platform answers.": true,
	"Instance is cut off from most groups.": true, "Instance reaches most groups again.": true,
	"No other failure domain answers.": true,
	"Idle callers are sent elsewhere.": true, "Instance starts.": true, "Drain begins.": true, "Instance has stopped.": true,
	"Home of a group was started.": true, "Home of a group is retired.": true, "Entry of a silent instance was removed.": true,
	"The instance's entry was removed.": true, "Opening a connection failed.": true, "Unit was passed on and not served.": true,
}

// Filter chooses what a report is about; zero fields choose all.
type Filter struct {
	Group, Instance, Code, Request string
	// From and To bound the time; To zero has no bound.
	From, To time.Duration
}

func (f Filter) takes(l line) bool {
	switch {
	case f.Instance != "" && l.source != f.Instance:
		return false
	case f.Group != "" && l.Group != "" && l.Group != f.Group:
		return false
	case l.at < f.From, f.To > 0 && l.at > f.To:
		return false
	case f.Request != "" && l.Request != f.Request && l.Message == messageRefused:
		return false
	case f.Code != "" && l.Code != f.Code && l.Message == messageRefused:
		return false
	}
	return true
}

// Refusals are the refusals of one second that have the same reason.
type Refusals struct {
	Second   int    `json:"second"`
	Code     string `json:"code"`
	Group    string `json:"group"`
	Instance string `json:"instance"`
	Class    string `json:"class"`
	Count    int    `json:"count"`
	// Example is the error of one of them, and Request its id.
	Example string `json:"example"`
	Request string `json:"request"`
}

// Belief is what one instance came to believe in one second, and how often it said so.
type Belief struct {
	Second   int    `json:"second"`
	Instance string `json:"instance"`
	Group    string `json:"group"`
	Message  string `json:"message"`
	Detail   string `json:"detail"`
	Count    int    `json:"count"`
}

// Report is what a set of logs says.
type Report struct {
	Lines    int            `json:"lines"`
	Unread   int            `json:"unread"`
	ByCode   map[string]int `json:"by_code"`
	Refusals []Refusals     `json:"refusals"`
	Beliefs  []Belief       `json:"beliefs"`
	// Domains are the failure domains of the instances that told theirs.
	Domains map[string]string `json:"failure_domains"`
}

// maxLineBytes bounds one log line.
const maxLineBytes = 1 << 20

// collector gathers a report.
type collector struct {
	filter   Filter
	report   Report
	refusals map[Refusals]*Refusals
	beliefs  map[Belief]*Belief
}

// Read reads the log lines of one or more instances, one stream after the other.
func Read(filter Filter, streams ...io.Reader) (Report, error) {
	c := &collector{filter: filter, report: Report{ByCode: make(map[string]int), Domains: make(map[string]string)},
		refusals: make(map[Refusals]*Refusals), beliefs: make(map[Belief]*Belief)}
	p := &parser{}
	for _, s := range streams {
		if err := c.read(p, s); err != nil {
			return Report{}, err
		}
	}
	return c.finish(), nil
}

func (c *collector) read(p *parser, s io.Reader) error {
	scanner := bufio.NewScanner(s)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		l, ok := p.parse(scanner.Bytes())
		if !ok {
			c.report.Unread++
			continue
		}
		c.report.Lines++
		if l.FailureDomain != "" {
			c.report.Domains[l.source] = l.FailureDomain
		}
		if c.filter.takes(l) {
			c.take(l)
		}
	}
	return scanner.Err()
}

func (c *collector) take(l line) {
	second := int(l.at / time.Second)
	switch {
	case l.Message == messageRefused:
		c.report.ByCode[l.Code]++
		key := Refusals{Second: second, Code: l.Code, Group: l.Group, Instance: l.source, Class: l.Class}
		r := c.refusals[key]
		if r == nil {
			r = &Refusals{}
			*r = key
			r.Example, r.Request = l.Error, l.Request
			c.refusals[key] = r
		}
		r.Count++
	case beliefs[l.Message]:
		key := Belief{Second: second, Instance: l.source, Group: l.Group, Message: l.Message, Detail: detail(l)}
		b := c.beliefs[key]
		if b == nil {
			b = &Belief{}
			*b = key
			c.beliefs[key] = b
		}
		b.Count++
	}
}

// detail is what tells lines of the same message apart.
func detail(l line) string { return strings.TrimSpace(l.Member + " " + l.Cause) }

func (c *collector) finish() Report {
	for _, r := range c.refusals {
		c.report.Refusals = append(c.report.Refusals, *r)
	}
	slices.SortFunc(c.report.Refusals, func(a, b Refusals) int {
		return cmp.Or(cmp.Compare(a.Second, b.Second), cmp.Compare(b.Count, a.Count), cmp.Compare(a.Code, b.Code),
			cmp.Compare(a.Group, b.Group), cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Class, b.Class))
	})
	for _, b := range c.beliefs {
		c.report.Beliefs = append(c.report.Beliefs, *b)
	}
	slices.SortFunc(c.report.Beliefs, func(a, b Belief) int {
		return cmp.Or(cmp.Compare(a.Second, b.Second), cmp.Compare(a.Message, b.Message), cmp.Compare(a.Group, b.Group),
			cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Detail, b.Detail))
	})
	return c.report
}

// WriteText writes the report for people: totals, then each second's refusals with what
// was believed in it. Seconds without a refusal are left out.
func (r Report) WriteText(w io.Writer) error {
	out := bufio.NewWriter(w)
	fmt.Fprintf(out, "%d lines, %d not read\n", r.Lines, r.Unread)
	for _, code := range slices.Sorted(maps.Keys(r.ByCode)) {
		fmt.Fprintf(out, "%6d %s\n", r.ByCode[code], code)
	}
	beliefs := r.Beliefs
	for k := 0; k < len(r.Refusals); {
		second := r.Refusals[k].Second
		fmt.Fprintf(out, "\nsecond %d\n", second)
		for ; k < len(r.Refusals) && r.Refusals[k].Second == second; k++ {
			x := r.Refusals[k]
			fmt.Fprintf(out, "%6d %s %s %s class %s, e.g. %s: %s\n", x.Count, x.Code, x.Instance, x.Group, x.Class, x.Request, x.Example)
		}
		for len(beliefs) > 0 && beliefs[0].Second <= second {
			if b := beliefs[0]; b.Second == second {
				fmt.Fprintf(out, "       %s %s %s %s (%d)\n", b.Instance, b.Group, b.Message, b.Detail, b.Count)
			}
			beliefs = beliefs[1:]
		}
	}
	return out.Flush()
}
