package explain

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// messageRefused is the message that an instance logs for each response with a result
// code.
const messageRefused = "Request was refused."

// messageShutdownTimedOut is the message that an instance logs if it ends before all
// connections are closed.
const messageShutdownTimedOut = "Shutdown timed out. The process ends with the remaining steps undone."

// stateChangeMessages are the messages that report a change of the instance's state or of
// its view of groups, members, the platform and other instances.
var stateChangeMessages = map[string]bool{
	"Member does not answer.": true, "Member answers again.": true, "Not enough replicas make progress.": true,
	"Enough replicas make progress again.": true, "The group's term increased.": true, "Primary found.": true, "Term claimed.": true,
	"Member is promoted.": true, "Primary replaced.": true,
	"Failover was not started because other instances reach the primary.": true, "Claim failed.": true,
	"Failure domains agree that the primary fails its statements.":            true,
	"Failing primary was not replaced because too few failure domains agree.": true,
	"Replacement of a failing primary waits for the end of the cooldown.":     true,
	"Work of the primary is not plausible and is ignored.":                    true,
	"Failover attempt for the claimed term was abandoned.":                    true, "The platform does not answer.": true, "The platform answers.": true,
	"Instance is cut off from most groups.": true, "Instance reaches most groups again.": true,
	"No other failure domain answers.": true, "Instance disconnects idle callers so that they reconnect elsewhere.": true,
	"Instance starts.": true, "Drain begins.": true, "Instance has stopped.": true,
	"Drain timed out. Closing the remaining sessions.": true, messageShutdownTimedOut: true,
	"Start within the connection reserve begins.": true, "Start within the connection reserve ended.": true,
	"Home of a group was started.": true, "Home of a group is retired.": true, "Entry of an unresponsive instance was removed.": true,
	"The instance's entry was removed.": true, "Opening a connection failed.": true, "Relaying a unit to another home failed.": true,
	"Member was ejected.": true, "Member is on probation.": true, "Member was readmitted.": true,
	"The platform's store is back from an older copy.":                                   true,
	"The platform's store is back from an older copy; its list replaces what was known.": true,
	"The platform's store is back from an older copy; the share is written again.":       true,
	"Ignoring lists that are older than the known revision.":                             true,
	"Lists are current again.":                                                                       true,
	"Revision was compacted; the objects are listed again.":                                          true,
	"Another instance has a later manifest than the platform.":                                       true,
	"Entries of instances were lost by the platform; they stay listed until they are written again.": true,
	"Claim waits for the end of claims that the platform's store may have lost.":                     true,
	"The group's record was lost by the platform and is restored.":                                   true,
	"Part of the share was not restored and is given up.":                                            true,
	"Workspace reached its limit.":                                                                   true, "Workspace is below its limit again.": true,
	"Home does not answer units and is tried last.":                true,
	"Home answers units again.":                                    true,
	"Home sends reports with impossible values; they are ignored.": true,
	// Instances of earlier builds write these; during an upgrade, logs of both builds are read.
	"Too few replicas get on.": true, "Replicas get on again.": true, "Term rose.": true, "Others reach the primary.": true,
	"Claimed term was left.": true, "Idle callers are sent elsewhere.": true, "Unit was passed on and not served.": true,
	"Entry of a silent instance was removed.": true,
}

// Filter selects the lines for a report. Fields with zero values select all lines. Code
// and Request apply to refusals only, and Group to lines that have a group.
type Filter struct {
	Group, Instance, Code, Request string
	// From and To limit the time range; if To is zero, it has no end.
	From, To time.Duration
}

func (f Filter) matches(l logLine) bool {
	switch {
	case f.Instance != "" && l.writer != f.Instance:
		return false
	case f.Group != "" && l.Group != "" && l.Group != f.Group:
		return false
	case l.offset < f.From, f.To > 0 && l.offset > f.To:
		return false
	case f.Request != "" && l.Request != f.Request && l.Message == messageRefused:
		return false
	case f.Code != "" && l.Code != f.Code && l.Message == messageRefused:
		return false
	}
	return true
}

// RefusalCount counts the refusals in one second by one instance with the same code,
// group and class.
type RefusalCount struct {
	Second   int    `json:"second"`
	Code     string `json:"code"`
	Group    string `json:"group"`
	Instance string `json:"instance"`
	Class    string `json:"class"`
	Count    int    `json:"count"`
	// Example is the error of the first of these refusals, and Request its request ID.
	Example string `json:"example"`
	Request string `json:"request"`
}

// StateChange counts how often one instance logged the same state change in one second.
type StateChange struct {
	Second   int    `json:"second"`
	Instance string `json:"instance"`
	Group    string `json:"group"`
	Message  string `json:"message"`
	Detail   string `json:"detail"`
	Count    int    `json:"count"`
}

// Report holds the refusals and state changes found in a set of logs.
type Report struct {
	Lines        int            `json:"lines"`
	Unparsed     int            `json:"unread"`
	ByCode       map[string]int `json:"by_code"`
	Refusals     []RefusalCount `json:"refusals"`
	StateChanges []StateChange  `json:"beliefs"`
	// FailureDomains maps instances to their failure domains, if these were logged.
	FailureDomains map[string]string `json:"failure_domains"`
	Usage          Usage             `json:"usage"`
}

// maxLineBytes limits the length of a log line.
const maxLineBytes = 1 << 20

// reportBuilder builds a report from log lines.
type reportBuilder struct {
	filter       Filter
	report       Report
	refusals     map[RefusalCount]*RefusalCount
	stateChanges map[StateChange]*StateChange
	usage        *usageBuilder
}

// Read builds a report from the logs of one or more instances. It reads the streams one
// after the other.
func Read(filter Filter, streams ...io.Reader) (Report, error) {
	builder := &reportBuilder{filter: filter, report: Report{ByCode: make(map[string]int), FailureDomains: make(map[string]string)},
		refusals: make(map[RefusalCount]*RefusalCount), stateChanges: make(map[StateChange]*StateChange), usage: newUsageBuilder()}
	p := &lineParser{}
	for _, stream := range streams {
		if err := builder.readStream(p, stream); err != nil {
			return Report{}, err
		}
	}
	return builder.build(), nil
}

func (b *reportBuilder) readStream(p *lineParser, stream io.Reader) error {
	scanner := bufio.NewScanner(stream)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		l, ok := p.parseLine(scanner.Bytes())
		if !ok {
			b.report.Unparsed++
			continue
		}
		b.report.Lines++
		if l.FailureDomain != "" {
			b.report.FailureDomains[l.writer] = l.FailureDomain
		}
		if b.filter.matches(l) {
			b.addLine(l)
		}
	}
	return scanner.Err()
}

func (b *reportBuilder) addLine(l logLine) {
	second := int(l.offset / time.Second)
	switch {
	case isUsage(l):
		b.usage.add(l)
	case l.Message == messageRefused:
		b.report.ByCode[l.Code]++
		key := RefusalCount{Second: second, Code: l.Code, Group: l.Group, Instance: l.writer, Class: l.Class}
		refusal := b.refusals[key]
		if refusal == nil {
			refusal = &RefusalCount{}
			*refusal = key
			refusal.Example, refusal.Request = l.Error, l.Request
			b.refusals[key] = refusal
		}
		refusal.Count++
	case stateChangeMessages[l.Message]:
		key := StateChange{Second: second, Instance: l.writer, Group: l.Group, Message: l.Message, Detail: stateChangeDetail(l)}
		change := b.stateChanges[key]
		if change == nil {
			change = &StateChange{}
			*change = key
			b.stateChanges[key] = change
		}
		change.Count++
	}
}

// stateChangeDetail returns the fields that distinguish state changes with the same
// message.
func stateChangeDetail(l logLine) string {
	words := []string{l.Member, l.Cause, l.Kind, l.Reason, l.Workspace, l.RefusedByRank}
	if l.Era > 0 {
		words = append(words, "era "+strconv.FormatInt(l.Era, 10))
	}
	return strings.Join(slices.DeleteFunc(words, func(w string) bool { return w == "" }), " ")
}

func (b *reportBuilder) build() Report {
	for _, r := range b.refusals {
		b.report.Refusals = append(b.report.Refusals, *r)
	}
	slices.SortFunc(b.report.Refusals, func(a, b RefusalCount) int {
		return cmp.Or(cmp.Compare(a.Second, b.Second), cmp.Compare(b.Count, a.Count), cmp.Compare(a.Code, b.Code),
			cmp.Compare(a.Group, b.Group), cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Class, b.Class))
	})
	for _, change := range b.stateChanges {
		b.report.StateChanges = append(b.report.StateChanges, *change)
	}
	slices.SortFunc(b.report.StateChanges, func(a, b StateChange) int {
		return cmp.Or(cmp.Compare(a.Second, b.Second), cmp.Compare(a.Message, b.Message), cmp.Compare(a.Group, b.Group),
			cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Detail, b.Detail))
	})
	b.report.Usage = b.usage.build()
	return b.report
}

// WriteText writes the report as text: the totals, then the refusals and state changes of
// each second. Seconds without refusals are omitted.
func (r Report) WriteText(w io.Writer) error {
	out := bufio.NewWriter(w)
	fmt.Fprintf(out, "%d lines, %d not read\n", r.Lines, r.Unparsed)
	for _, code := range slices.Sorted(maps.Keys(r.ByCode)) {
		fmt.Fprintf(out, "%6d %s\n", r.ByCode[code], code)
	}
	changes := r.StateChanges
	for k := 0; k < len(r.Refusals); {
		second := r.Refusals[k].Second
		fmt.Fprintf(out, "\nsecond %d\n", second)
		for ; k < len(r.Refusals) && r.Refusals[k].Second == second; k++ {
			refusal := r.Refusals[k]
			fmt.Fprintf(out, "%6d %s %s %s class %s, e.g. %s: %s\n", refusal.Count, refusal.Code, refusal.Instance, refusal.Group, refusal.Class, refusal.Request, refusal.Example)
		}
		for len(changes) > 0 && changes[0].Second <= second {
			if change := changes[0]; change.Second == second {
				fmt.Fprintf(out, "       %s %s %s %s (%d)\n", change.Instance, change.Group, change.Message, change.Detail, change.Count)
			}
			changes = changes[1:]
		}
	}
	return out.Flush()
}
