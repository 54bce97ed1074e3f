package bench

import (
	"fmt"
	"strings"
	"time"

	"github.com/topazrock/topazrock/examples"
)

// kind tells what a session does in a class.
type kind int

const (
	// kindWrite inserts a row with a key of its own.
	kindWrite kind = iota
	// kindRead reads the session's own last row, or another session's.
	kindRead
)

// class is one class of requests in a profile's mix.
type class struct {
	name string
	kind kind
	// keyed writes run at most once under a key; fresh reads see every acked write.
	keyed, fresh bool
	weight       int
}

// profile is one organisation's places, sizes and mix.
type profile struct {
	service, region, user string
	domains               []string
	// between and toClients are one-way latencies.
	between, toClients time.Duration
	// instances and connections are the sizes of today.
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
		domains: []string{"poa-a", "poa-b", "fln-c"},
		between: 1500 * time.Microsecond, toClients: time.Millisecond,
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
		domains: []string{"oviedo", "santander", "bilbao"},
		between: time.Millisecond, toClients: 3 * time.Millisecond,
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

// plainWrite returns the class of writes that need no key.
func (p profile) plainWrite() class {
	for _, c := range p.classes {
		if c.kind == kindWrite && !c.keyed {
			return c
		}
	}
	return class{}
}

// pick returns the class that a number below the sum of weights falls into.
func (p profile) pick(n int) class {
	for _, c := range p.classes {
		if n < c.weight {
			return c
		}
		n -= c.weight
	}
	return p.classes[0]
}

func (p profile) weights() int {
	sum := 0
	for _, c := range p.classes {
		sum += c.weight
	}
	return sum
}

// rewrite returns the shipped document with the members and sizes of this run,
// and no more groups than it has.
func (p profile) rewrite(members [][]string, domain func(ip string) string) string {
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

// groupName returns the name of a group in the shipped document.
func (p profile) groupName(i int) string {
	var names []string
	for line := range strings.Lines(p.document) {
		if name, ok := strings.CutPrefix(strings.TrimSpace(line), "[group "); ok {
			names = append(names, strings.TrimSuffix(name, "]"))
		}
	}
	return names[i]
}
