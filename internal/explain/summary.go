package explain

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
)

const (
	// maxCounts limits the length of each list so that the summary fits on one screen.
	maxCounts = 5
	// maxWorstSeconds limits how many of the seconds with the most refusals are shown.
	maxWorstSeconds = 4
	// unknownFailureDomain is shown for instances whose logs do not contain their failure
	// domain.
	unknownFailureDomain = "(not told)"
)

// Count is the number of occurrences of a name.
type Count struct {
	Name  string `json:"name"`
	Count int    `json:"count"`
}

// WorstSecond describes a second with many refusals. StateChanges counts the state changes
// in this second and in the one before.
type WorstSecond struct {
	Second         int     `json:"second"`
	Refusals       int     `json:"refusals"`
	Codes          []Count `json:"codes"`
	FailureDomains []Count `json:"failure_domains"`
	StateChanges   []Count `json:"beliefs"`
}

// Summary is a short form of a report. Each list is sorted by count, largest first.
type Summary struct {
	Refusals       int           `json:"refusals"`
	Codes          []Count       `json:"codes"`
	Groups         []Count       `json:"groups"`
	FailureDomains []Count       `json:"failure_domains"`
	Instances      []Count       `json:"instances"`
	WorstSeconds   []WorstSecond `json:"worst_seconds"`
}

// counter counts occurrences by name.
type counter map[string]int

// top returns the n largest counts; equal counts are ordered by name.
func (c counter) top(n int) []Count {
	var all []Count
	for _, name := range slices.Sorted(maps.Keys(c)) {
		all = append(all, Count{name, c[name]})
	}
	slices.SortStableFunc(all, func(a, b Count) int { return cmp.Compare(b.Count, a.Count) })
	return all[:min(n, len(all))]
}

// failureDomainOf returns the failure domain of an instance, or unknownFailureDomain.
func (r Report) failureDomainOf(instance string) string {
	return cmp.Or(r.FailureDomains[instance], unknownFailureDomain)
}

// Summary summarizes the report.
func (r Report) Summary() Summary {
	codes, groups, domains, instances, seconds := counter{}, counter{}, counter{}, counter{}, make(map[int]int)
	var s Summary
	for _, refusal := range r.Refusals {
		s.Refusals += refusal.Count
		codes[refusal.Code] += refusal.Count
		groups[refusal.Group] += refusal.Count
		domains[r.failureDomainOf(refusal.Instance)] += refusal.Count
		instances[refusal.Instance] += refusal.Count
		seconds[refusal.Second] += refusal.Count
	}
	s.Codes, s.Groups = codes.top(maxCounts), groups.top(maxCounts)
	s.FailureDomains, s.Instances = domains.top(maxCounts), instances.top(maxCounts)
	order := slices.SortedFunc(maps.Keys(seconds), func(a, b int) int {
		return cmp.Or(cmp.Compare(seconds[b], seconds[a]), cmp.Compare(a, b))
	})
	for _, second := range order[:min(maxWorstSeconds, len(order))] {
		s.WorstSeconds = append(s.WorstSeconds, r.summarizeSecond(second, seconds[second]))
	}
	return s
}

// summarizeSecond summarizes one second.
func (r Report) summarizeSecond(second, refusals int) WorstSecond {
	codes, domains, changes := counter{}, counter{}, counter{}
	for _, refusal := range r.Refusals {
		if refusal.Second == second {
			codes[refusal.Code] += refusal.Count
			domains[r.failureDomainOf(refusal.Instance)] += refusal.Count
		}
	}
	for _, change := range r.StateChanges {
		if change.Second == second || change.Second == second-1 {
			changes[change.Message] += change.Count
		}
	}
	return WorstSecond{Second: second, Refusals: refusals, Codes: codes.top(maxCounts),
		FailureDomains: domains.top(maxCounts), StateChanges: changes.top(maxCounts)}
}

// WriteSummary writes the summary as text.
func (r Report) WriteSummary(w io.Writer) error {
	out := bufio.NewWriter(w)
	s := r.Summary()
	fmt.Fprintf(out, "%d lines, %d not read; %d refusals\n", r.Lines, r.Unparsed, s.Refusals)
	writeCounts(out, "by code", s.Codes)
	writeCounts(out, "by group", s.Groups)
	writeCounts(out, "by failure domain", s.FailureDomains)
	writeCounts(out, "by instance", s.Instances)
	for _, worst := range s.WorstSeconds {
		fmt.Fprintf(out, "second %d: %d refusals\n", worst.Second, worst.Refusals)
		writeCounts(out, "  codes", worst.Codes)
		writeCounts(out, "  failure domains", worst.FailureDomains)
		writeCounts(out, "  believed from the second before on", worst.StateChanges)
	}
	r.Usage.write(out)
	return out.Flush()
}

// writeCounts writes a list of counts on one line.
func writeCounts(out io.Writer, title string, counts []Count) {
	if len(counts) == 0 {
		return
	}
	fmt.Fprintf(out, "%s:", title)
	for k, c := range counts {
		if k > 0 {
			fmt.Fprint(out, ";")
		}
		fmt.Fprintf(out, " %d %s", c.Count, c.Name)
	}
	fmt.Fprintln(out)
}
