package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"hash/fnv"
	"maps"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/netio"
	"github.com/topazrock/topazrock/internal/standin/member"
)

var soakBinary = flag.String("soak.binary", "", "program to run instead of this tree's")

// fleetDomains are the failure domains of the fleet's instances.
var fleetDomains = []string{"poa-a", "poa-a", "poa-a", "poa-a", "poa-b", "poa-b", "fln-c", "fln-c"}

// fleetGroups are the database groups of the fleet, with a member in each failure domain.
var fleetGroups = []string{"base-a", "base-b"}

const fleetSettings = `[instance]
id = i%d
failure_domain = %s
region = sul-br
[caller]
address = %s
wire = line
max_callers = 20000
[peer]
address = %s
[admin]
address = %s
[platform]
url = http://%s
timeout = 1s
[upstream]
user = topazrock
[ready]
address = %s
[promotion]
url = http://%s
[drain]
linger = 2500ms
timeout = 5s
close_timeout = 500ms
[load]
declared = base,drain,config,cost,recover,sql,platform
[log]
format = json
`

// fleet is a set of real instances with their store, members and the links between instances and store.
type fleet struct {
	t         *testing.T
	is        *is.I
	dir       string
	store     string
	storeProc *exec.Cmd
	members   map[string]string // group of each member by its ID
	instances []*fleetInstance
	judge     *judge
	revision  int64
}

// fleetInstance is one instance and its present process.
type fleetInstance struct {
	number         int
	callers, ready string
	settings       string
	link           *storeLink
	log            *os.File
	// exclusive is held while a fault ends and starts the process.
	exclusive sync.Mutex
	// mu guards the fields below.
	mu              sync.Mutex
	process         *exec.Cmd
	life            int
	processFinished chan struct{}
}

// startFleet builds the programs and starts everything; the first manifest is in force when it returns.
func startFleet(t *testing.T, dir string) *fleet {
	f := &fleet{t: t, is: is.New(t), dir: dir, members: make(map[string]string), judge: &judge{}}
	f.store = freeAddress(t, "127.0.0.2")
	f.storeProc = exec.Command(filepath.Join(dir, "topazrock-standin"), "platform", "--address", f.store)
	f.is.NoErr(f.storeProc.Start())
	t.Cleanup(func() { _ = f.storeProc.Process.Kill(); _ = f.storeProc.Wait() })
	f.waitFor("the store", func() bool {
		_, err := http.Get("http://" + f.store + "/v1/calls")
		return err == nil
	})
	f.startMembers()
	f.writeManifest(1, map[string]string{"own": "base-a", "moving": "base-a"})
	for i, domain := range fleetDomains {
		f.addInstance(i, domain)
	}
	f.awaitReady()
	return f
}

// awaitReady waits until the processes of all instances are ready.
func (f *fleet) awaitReady() {
	for _, i := range f.instances {
		f.waitFor("an instance", func() bool {
			r, err := http.Get("http://" + i.ready + "/v1/ready")
			return err == nil && r.Body.Close() == nil && r.StatusCode == http.StatusOK
		})
	}
}

func (f *fleet) waitFor(what string, isTrue func() bool) {
	for limit := time.Now().Add(waitTimeout); !isTrue(); time.Sleep(pollInterval) {
		if time.Now().After(limit) {
			f.t.Fatalf("%s does not answer", what)
		}
	}
}

func (f *fleet) startMembers() {
	for _, group := range fleetGroups {
		var addresses []string
		for i := range 3 {
			addresses = append(addresses, freeAddress(f.t, fmt.Sprintf("127.0.4.%d", 1+i)))
		}
		for i, domain := range []string{"poa-a", "poa-b", "fln-c"} {
			id := fmt.Sprintf("m-%s-%d", group, i)
			n := member.New(member.Options{Address: addresses[i], Primary: addresses[0], Network: netio.TCP{}, ID: id, Group: group,
				MaxConnections: 34, MaxConcurrentStatements: 5, ConnectDelay: 12 * time.Millisecond, ReplicationLag: 8 * time.Millisecond, StatementCost: 5 * time.Millisecond})
			f.is.NoErr(n.Start())
			f.t.Cleanup(n.Stop)
			f.members[id] = group
			role := map[bool]string{true: "primary", false: "replica"}[i == 0]
			f.put("servers", id, 0, map[string]any{"Service": group, "Addr": addresses[i], "Zone": domain, "Version": "v1", "Slots": 5,
				"State": "ready", "ColdMs": 0, "DbRole": role, "Seq": 1})
		}
	}
}

// put writes an object of the operator or of a member straight to the store. It returns its revision.
func (f *fleet) put(kind, name string, revision int64, spec any) int64 {
	body, err := json.Marshal(map[string]any{"meta": map[string]any{"Name": name, "Revision": revision}, "spec": spec})
	f.is.NoErr(err)
	method, path := http.MethodPut, "/v1/objects/"+kind+"/"+name
	if revision == 0 {
		method, path = http.MethodPost, "/v1/objects/"+kind
	}
	r, err := http.NewRequest(method, "http://"+f.store+path, bytes.NewReader(body))
	f.is.NoErr(err)
	response, err := http.DefaultClient.Do(r)
	f.is.NoErr(err)
	defer response.Body.Close()
	f.is.True(response.StatusCode < 300)
	var stored struct {
		Meta struct{ Revision int64 } `json:"meta"`
	}
	f.is.NoErr(json.NewDecoder(response.Body).Decode(&stored))
	return stored.Meta.Revision
}

// writeManifest writes a version of the manifest and notes when it was acknowledged.
func (f *fleet) writeManifest(number int64, groups map[string]string) {
	v := &manifestVersion{number: number, groups: maps.Clone(groups), sent: time.Now()}
	f.judge.mu.Lock()
	f.judge.versions = append(f.judge.versions, v)
	f.judge.mu.Unlock()
	var routes, services []any
	for database, group := range groups {
		routes = append(routes, map[string]any{"Name": "r-" + database, "Host": database, "Type": "bounded_staleness", "Service": group,
			"TimeoutMs": 1000 + number%5*100, "SloMs": 400, "MaxStalenessMs": 60000, "Priority": 2})
	}
	for _, group := range fleetGroups {
		services = append(services, map[string]any{"Name": group, "MaxConns": 34})
	}
	f.revision = f.put("config", "main", f.revision, map[string]any{"Version": number, "Routes": routes, "Services": services, "Limits": map[string]any{"TxIdleMs": 3000}})
	f.judge.mu.Lock()
	v.acked = time.Now()
	f.judge.mu.Unlock()
}

// groupOf returns the group whose member signed the answer to a request.
func (f *fleet) groupOf(request, mac string) string {
	for id, group := range f.members {
		h := fnv.New64a()
		fmt.Fprint(h, id, request)
		if strconv.FormatUint(h.Sum64(), 16) == mac {
			return group
		}
	}
	return ""
}

func (f *fleet) addInstance(number int, domain string) {
	free := freeAddresses(f.t, fmt.Sprintf("127.0.5.%d", 1+number), 4)
	i := &fleetInstance{number: number, callers: free[0], ready: free[3], link: newStoreLink(f.t, f.store),
		settings: filepath.Join(f.dir, fmt.Sprintf("fleet-%s-%d.ini", filepath.Base(f.t.Name()), number))}
	text := fmt.Sprintf(fleetSettings, number, domain, free[0], free[1], free[2], i.link.address, free[3], f.store)
	f.is.NoErr(os.WriteFile(i.settings, []byte(text), 0o600))
	var err error
	i.log, err = os.Create(i.settings + ".log")
	f.is.NoErr(err)
	f.instances = append(f.instances, i)
	f.startInstance(i)
	f.t.Cleanup(func() { f.killInstance(i) })
}

// startInstance starts a process of an instance, with the name and addresses of the earlier ones.
func (f *fleet) startInstance(i *fleetInstance) {
	program := filepath.Join(f.dir, "topazrock")
	if *soakBinary != "" {
		program = *soakBinary
	}
	c := exec.Command(program, "serve", "--settings", i.settings)
	c.Stdout, c.Stderr = i.log, i.log
	f.is.NoErr(c.Start())
	finished := make(chan struct{})
	i.mu.Lock()
	i.process, i.processFinished = c, finished
	i.life++
	i.mu.Unlock()
	go func() {
		_ = c.Wait()
		close(finished)
	}()
}

func (f *fleet) killInstance(i *fleetInstance) {
	_ = i.process.Process.Kill()
	<-i.processFinished
}

func (i *fleetInstance) signal(s syscall.Signal) { _ = i.process.Process.Signal(s) }

func (i *fleetInstance) currentLife() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.life
}
