package main

import (
	"bytes"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/topazrock/topazrock/internal/standin/linecaller"
)

const (
	kindServers   = "servers"
	kindInstances = "topazrock-instances"
)

func nestedArrays(levels int) string {
	return strings.Repeat("[", levels) + strings.Repeat("]", levels)
}

// memberEntry is the entry of a member.
func memberEntry(group, address, version, slots, state string) string {
	return fmt.Sprintf(`{"Service":%q,"Addr":%q,"Zone":"poa-a","Version":%s,"Slots":%s,"State":%q,"ColdMs":0,"DbRole":"replica","Seq":1}`, group, address, version, slots, state)
}

// oddSpecs are specifications that another writer leaves, by the name of their object.
func oddSpecs() map[string]string {
	return map[string]string{
		"odd-deep":               nestedArrays(12_000),
		"odd-deep-field":         memberEntry("base-a", "127.0.4.9:9000", nestedArrays(9_990), "5", "ready"),
		"odd-no-json":            "nonsense",
		"odd-number":             "7",
		"odd-string":             `"x"`,
		"odd-utf8":               "{\"Service\":\"\xc3\"}",
		"odd-large":              memberEntry("base-a", "127.0.4.9:9000", `"`+strings.Repeat("x", 1_000_000)+`"`, "5", "ready"),
		"odd-slots":              memberEntry("base-a", "127.0.4.9:9000", `"v1"`, "9223372036854775807", "ready"),
		"odd-slots-range":        memberEntry("base-a", "127.0.4.9:9000", `"v1"`, "1e400", "ready"),
		"odd-port":               memberEntry("base-a", "127.0.4.9:99999", `"v1"`, "5", "ready"),
		"odd-name with\nbreak/%": memberEntry("base-a", "127.0.4.9:9000", `"v1"`, "5", "ready"),
	}
}

// putRaw stores a specification as another writer would.
func (f *fleet) putRaw(kind, name, spec string) {
	r, err := http.NewRequest(http.MethodPut, "http://"+f.store+"/v1/raw/"+kind+"/"+url.PathEscape(name), bytes.NewReader([]byte(spec)))
	f.is.NoErr(err)
	response, err := http.DefaultClient.Do(r)
	f.is.NoErr(err)
	f.is.NoErr(response.Body.Close())
	f.is.Equal(response.StatusCode, http.StatusOK)
}

// awaitGroup waits until sessions of a database at every instance are served by a group.
func (f *fleet) awaitGroup(database, group string) {
	for _, i := range f.instances {
		f.waitFor(fmt.Sprintf("%s of %s at instance %d", database, group, i.number), func() bool {
			s := linecaller.Open(i.callers, database, probeTimeout)
			defer s.Close()
			request := fmt.Sprintf("odd-%d-%d", i.number, time.Now().UnixNano())
			return s.Started().Code == "" && f.groupOf(request, s.Run(request, "READ x").MAC) == group
		})
	}
}

// logLines returns how many lines of an instance's log contain all of some texts.
func (f *fleet) logLines(i *fleetInstance, texts ...string) int {
	text, err := os.ReadFile(i.log.Name())
	f.is.NoErr(err)
	count := 0
	for line := range strings.Lines(string(text)) {
		if !slices.ContainsFunc(texts, func(t string) bool { return !strings.Contains(line, t) }) {
			count++
		}
	}
	return count
}

// Guards against processes that end, stop following, or never get ready because another writer has left
// entries that cannot be used among those of the members and of the instances.
func TestOddEntriesDoNotStopRealProcesses(t *testing.T) {
	f := startFleet(t, buildPrograms(t))
	odd := oddSpecs()
	for name, spec := range odd {
		f.putRaw(kindServers, name, spec)
		f.putRaw(kindInstances, name, spec)
	}

	// Changes behind the odd entries arrive at the processes that run.
	groups := map[string]string{"own": "base-a", "moving": "base-b"}
	f.writeManifest(2, groups)
	f.awaitGroup("moving", "base-b")
	f.putRaw(kindServers, "late", memberEntry("base-b", "127.0.4.9:9001", `"v1"`, "5", "draining"))
	for _, i := range f.instances {
		f.waitFor("the entry of a member behind the odd ones", func() bool { return f.logLines(i, "Member's entry changed", `"late"`) > 0 })
	}

	// A process that starts gets ready, while others are killed and stopped.
	for _, i := range f.instances[:4] {
		f.killInstance(i)
		f.startInstance(i)
	}
	f.awaitReady()
	groups["moving"] = "base-a"
	f.writeManifest(3, groups)
	f.awaitGroup("moving", "base-a")

	for _, i := range f.instances {
		select {
		case <-i.processFinished:
			t.Errorf("instance %d has ended by itself", i.number)
		default:
		}
		for name := range maps.Keys(odd) {
			logged := strings.ReplaceAll(name, "\n", `\n`)
			for kind, label := range map[string]string{kindServers: "upstreams", kindInstances: "instances"} {
				lines := 0
				f.waitFor("a line for an odd entry", func() bool {
					lines = f.logLines(i, "cannot be used", `"kind":"`+label+`"`, `"name":"`+logged+`"`)
					return lines > 0
				})
				if lines > i.currentLife() {
					t.Errorf("instance %d: %d lines for %s %q in %d processes", i.number, lines, kind, name, i.currentLife())
				}
			}
		}
	}

	// Entries that are mended count, whatever stood there before.
	for name := range odd {
		f.putRaw(kindServers, name, memberEntry("base-b", "127.0.4.9:9002", `"v1"`, "5", "draining"))
	}
	for _, i := range f.instances {
		f.waitFor("a mended entry", func() bool { return f.logLines(i, "Member's entry changed", `"odd-deep"`) > 0 })
	}
	f.awaitGroup("own", "base-a")
}
