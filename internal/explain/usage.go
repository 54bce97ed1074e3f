package explain

import (
	"bufio"
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/topazrock/topazrock/internal/usage"
)

// InstanceUsage is what one instance used during the time of a report.
type InstanceUsage struct {
	Instance string `json:"instance"`
	// Roles are those of the last line.
	Roles string `json:"roles"`
	// ProcessorMS is the processor time, and HeapKB the largest size of the heap.
	ProcessorMS int64 `json:"cpu_ms"`
	HeapKB      int64 `json:"heap_kb"`
}

// usageFields are the fields of a log line with the usage of an interval.
type usageFields struct {
	Roles       string `json:"roles"`
	ProcessorMS int64  `json:"cpu_ms"`
	HeapKB      int64  `json:"heap_kb"`
	// The others hold counts by name, as "name count; name count".
	Calls         string `json:"calls"`
	CallBytes     string `json:"call_bytes"`
	Served        string `json:"served"`
	WatchBytes    string `json:"watch_bytes"`
	PlatformCalls string `json:"platform_calls"`
}

// Usage sums up the lines with the usage of instances.
type Usage struct {
	// Instances are ordered by processor time, largest first.
	Instances []InstanceUsage `json:"instances"`
	// Counts holds sums over all instances: of a field of the lines, and of a name in it.
	Counts map[string]counter `json:"counts"`
}

// usageBuilder builds a Usage from log lines.
type usageBuilder struct {
	instances map[string]*InstanceUsage
	counts    map[string]counter
}

func newUsageBuilder() *usageBuilder {
	return &usageBuilder{instances: make(map[string]*InstanceUsage), counts: make(map[string]counter)}
}

func isUsage(l logLine) bool { return l.Message == usage.MessageReport }

func (b *usageBuilder) add(l logLine) {
	// The line names its instance, because collected logs may have several lines behind one prefix.
	id := cmp.Or(l.Instance, l.writer)
	u := b.instances[id]
	if u == nil {
		u = &InstanceUsage{Instance: id}
		b.instances[id] = u
	}
	u.Roles = l.Roles
	u.ProcessorMS += l.ProcessorMS
	u.HeapKB = max(u.HeapKB, l.HeapKB)
	b.addCounts("calls", l.Calls)
	b.addCounts("call_bytes", l.CallBytes)
	b.addCounts("served", l.Served)
	b.addCounts("watch_bytes", l.WatchBytes)
	b.addCounts("platform_calls", l.PlatformCalls)
}

// addCounts adds the counts of a field. It ignores what has another form.
func (b *usageBuilder) addCounts(field, text string) {
	for _, part := range strings.Split(text, "; ") {
		name, value, ok := strings.Cut(part, " ")
		count, err := strconv.Atoi(value)
		if !ok || err != nil {
			continue
		}
		if b.counts[field] == nil {
			b.counts[field] = counter{}
		}
		b.counts[field][name] += count
	}
}

func (b *usageBuilder) build() Usage {
	u := Usage{Counts: b.counts}
	for _, i := range b.instances {
		u.Instances = append(u.Instances, *i)
	}
	slices.SortFunc(u.Instances, func(a, b InstanceUsage) int {
		return cmp.Or(cmp.Compare(b.ProcessorMS, a.ProcessorMS), cmp.Compare(a.Instance, b.Instance))
	})
	return u
}

// write writes the busiest instances and the largest counts as text.
func (u Usage) write(out *bufio.Writer) {
	if len(u.Instances) == 0 {
		return
	}
	middle := u.Instances[len(u.Instances)/2]
	fmt.Fprintf(out, "usage of %d instances; in the middle %d ms of processor time\n", len(u.Instances), middle.ProcessorMS)
	for _, i := range u.Instances[:min(maxCounts, len(u.Instances))] {
		fmt.Fprintf(out, "  %s: %d ms, heap %d kB, %s\n", i.Instance, i.ProcessorMS, i.HeapKB, i.Roles)
	}
	for _, field := range []string{"calls", "call_bytes", "served", "watch_bytes", "platform_calls"} {
		writeCounts(out, "  "+field, u.Counts[field].top(2*maxCounts))
	}
}
