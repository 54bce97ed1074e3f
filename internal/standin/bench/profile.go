package bench

import (
	"fmt"
	"strings"
	"time"

	"github.com/topazrock/topazrock/examples"
)

// kind is the kind of request of a class.
type kind int

const (
	// kindWrite inserts a row with a unique key.
	kindWrite kind = iota
	// kindRead reads the last row that the session wrote, or a row of another session.
	kindRead
)

// class is one class of requests in a profile's workload.
type class struct {
	name string
	kind kind
	// keyed writes carry a request key and run at most once; fresh reads see every
	// acknowledged write.
	keyed, fresh bool
	weight       int
}

// profile describes one organisation's failure domains, sizes and workload.
type profile struct {
	service, region, user string
	domains               []string
	// domainLatency is the one-way latency between failure domains, and to the
	// platform; callerLatency is the one to callers.
	domainLatency, callerLatency time.Duration
	// instances and connections are the organisation's current sizes.
	instances, groups, connections, slots int
	document                              string
	classes                               []class
}

// Names of the profiles.
const (
	ProfileLigacaoSul = "ligacao-sul"
	ProfileLentes     = "lentes"
)

var profiles = map[string]profile{
	ProfileLigacaoSul: {
		service: "base-ligacoes", region: "sul-br", user: "ligacoes",
		domains:       []string{"poa-a", "poa-b", "fln-c"},
		domainLatency: 1500 * time.Microsecond, callerLatency: time.Millisecond,
		instances: 8, groups: 3, connections: 35, slots: 5,
		document: examples.BaseLigacoes,
		classes: []class{
			{"submission", kindWrite, true, false, 4},
			{"fee-payment", kindWrite, true, false, 3},
			{"review", kindWrite, false, false, 5},
			{"application", kindRead, false, true, 28},
			{"pending-visits", kindRead, false, false, 60},
		},
	},
	ProfileLentes: {
		service: "subs-core", region: "norte", user: "subs",
		domains:       []string{"oviedo", "santander", "bilbao"},
		domainLatency: time.Millisecond, callerLatency: 3 * time.Millisecond,
		instances: 7, groups: 3, connections: 55, slots: 5,
		document: examples.SubsCore,
		classes: []class{
			{"renewal", kindWrite, true, false, 15},
			{"dispatch", kindWrite, false, false, 8},
			{"stock", kindWrite, false, false, 12},
			{"prescription", kindRead, false, true, 40},
			{"catalogue", kindRead, false, false, 25},
		},
	},
}

// unkeyedWrite returns the first class of writes without a request key.
func (p profile) unkeyedWrite() class {
	for _, c := range p.classes {
		if c.kind == kindWrite && !c.keyed {
			return c
		}
	}
	return class{}
}

// classAt returns the class for n, a number below totalWeight. Each class covers a
// range as long as its weight.
func (p profile) classAt(n int) class {
	for _, c := range p.classes {
		if n < c.weight {
			return c
		}
		n -= c.weight
	}
	return p.classes[0]
}

func (p profile) totalWeight() int {
	sum := 0
	for _, c := range p.classes {
		sum += c.weight
	}
	return sum
}

// renderDocument returns the example document with the member addresses and sizes of
// this run, without the groups that the run does not start.
func (p profile) renderDocument(members [][]string, domain func(ip string) string) string {
	var out strings.Builder
	group, inGroup := -1, false
	for line := range strings.Lines(p.document) {
		if strings.HasPrefix(line, "[") {
			inGroup = strings.HasPrefix(line, "[group ")
			if inGroup {
				group++
			}
		}
		switch name, _, _ := strings.Cut(line, " "); {
		case inGroup && group >= len(members):
			continue
		case inGroup && name == "members":
			var list []string
			for _, address := range members[group] {
				list = append(list, domain(host(address))+"/"+address)
			}
			line = fmt.Sprintf("members = %s\n", strings.Join(list, ", "))
		case inGroup && name == "connections":
			line = fmt.Sprintf("connections = %d\n", p.connections)
		case inGroup && name == "slots":
			line = fmt.Sprintf("slots = %d\n", p.slots)
		}
		out.WriteString(line)
	}
	return out.String()
}

// groupName returns the name of group i in the example document.
func (p profile) groupName(i int) string {
	var names []string
	for line := range strings.Lines(p.document) {
		if name, ok := strings.CutPrefix(strings.TrimSpace(line), "[group "); ok {
			names = append(names, strings.TrimSuffix(name, "]"))
		}
	}
	return names[i]
}
