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
	// topRows is how many rows each part of the first page has at most, so that the whole
	// fits a screen.
	topRows = 5
	// worstSeconds is how many of the seconds with the most refusals are shown.
	worstSeconds = 4
	// unknownDomain stands for instances whose logs do not tell their failure domain.
	unknownDomain = "(not told)"
)

// Count is how often something with a name was met.
type Count struct {
	Name  string `json:"name"`
	Count int    `json:"count"`
}

// WorstSecond is a second with many refusals, and what instances came to believe in it and
// in the second before.
type WorstSecond struct {
	Second   int     `json:"second"`
	Refusals int     `json:"refusals"`
	Codes    []Count `json:"codes"`
	Domains  []Count `json:"failure_domains"`
	Beliefs  []Count `json:"beliefs"`
}

// Summary is the first page of a report. Each list has the largest counts first.
type Summary struct {
	Refusals  int           `json:"refusals"`
	Codes     []Count       `json:"codes"`
	Groups    []Count       `json:"groups"`
	Domains   []Count       `json:"failure_domains"`
	Instances []Count       `json:"instances"`
	Worst     []WorstSecond `json:"worst_seconds"`
}

// tally counts by name.
type tally map[string]int

// largest returns the n largest counts, the names in order among equals.
func (t tally) largest(n int) []Count {
	var all []Count
	for _, name := range slices.Sorted(maps.Keys(t)) {
		all = append(all, Count{name, t[name]})
	}
	slices.SortStableFunc(all, func(a, b Count) int { return cmp.Compare(b.Count, a.Count) })
	return all[:min(n, len(all))]
}

// domainOf returns the failure domain that an instance's logs told.
func (r Report) domainOf(instance string) string { return cmp.Or(r.Domains[instance], unknownDomain) }

// Summary returns the first page.
func (r Report) Summary() Summary {
	codes, groups, domains, instances, seconds := tally{}, tally{}, tally{}, tally{}, make(map[int]int)
	var s Summary
	for _, x := range r.Refusals {
		s.Refusals += x.Count
		codes[x.Code] += x.Count
		groups[x.Group] += x.Count
		domains[r.domainOf(x.Instance)] += x.Count
		instances[x.Instance] += x.Count
		seconds[x.Second] += x.Count
	}
	s.Codes, s.Groups = codes.largest(topRows), groups.largest(topRows)
	s.Domains, s.Instances = domains.largest(topRows), instances.largest(topRows)
	order := slices.SortedFunc(maps.Keys(seconds), func(a, b int) int {
		return cmp.Or(cmp.Compare(seconds[b], seconds[a]), cmp.Compare(a, b))
	})
	for _, second := range order[:min(worstSeconds, len(order))] {
		s.Worst = append(s.Worst, r.worst(second, seconds[second]))
	}
	return s
}

// worst describes one second.
func (r Report) worst(second, refusals int) WorstSecond {
	codes, domains, beliefs := tally{}, tally{}, tally{}
	for _, x := range r.Refusals {
		if x.Second == second {
			codes[x.Code] += x.Count
			domains[r.domainOf(x.Instance)] += x.Count
		}
	}
	for _, b := range r.Beliefs {
		if b.Second == second || b.Second == second-1 {
			beliefs[b.Message] += b.Count
		}
	}
	return WorstSecond{Second: second, Refusals: refusals, Codes: codes.largest(topRows),
		Domains: domains.largest(topRows), Beliefs: beliefs.largest(topRows)}
}

// WriteSummary writes the first page for people.
func (r Report) WriteSummary(w io.Writer) error {
	out := bufio.NewWriter(w)
	s := r.Summary()
	fmt.Fprintf(out, "%d lines, %d not read; %d refusals\n", r.Lines, r.Unread, s.Refusals)
	writeCounts(out, "by code", s.Codes)
	writeCounts(out, "by group", s.Groups)
	writeCounts(out, "by failure domain", s.Domains)
	writeCounts(out, "by instance", s.Instances)
	for _, x := range s.Worst {
		fmt.Fprintf(out, "second %d: %d refusals\n", x.Second, x.Refusals)
		writeCounts(out, "  codes", x.Codes)
		writeCounts(out, "  failure domains", x.Domains)
		writeCounts(out, "  believed from the second before on", x.Beliefs)
	}
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
