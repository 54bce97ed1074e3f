//go:build reviewrig

// Command rig-2 starts a small deployment of topazrock on loopback addresses, with stand-ins for
// the platform and the members in its own process, and runs one case of the review against it.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/netio"
	"github.com/topazrock/topazrock/internal/platform"
	"github.com/topazrock/topazrock/internal/standin/member"
	standin "github.com/topazrock/topazrock/internal/standin/platform"
)

// Figures of the sheet of ligasul-pool.
const (
	groupName      = "base-ligacoes"
	maxConns       = 34
	slots          = 5
	connectDelay   = 12 * time.Millisecond
	replicationLag = 8 * time.Millisecond
	promotionDelay = 300 * time.Millisecond
	memoryMB       = 284
	// maxFDs is the lowest number of descriptors of a machine of ligasul-pool-large.
	maxFDs = 4400
	binary = "target/topazrock"
)

var zones = []string{"poa-a", "poa-b", "fln-c"}

// instanceProcess is one topazrock process.
type instanceProcess struct {
	name, zone, ip    string
	front, ready      string
	settings, logFile string
	command           *exec.Cmd
	exited            chan struct{}
}

// system is the deployment with its stand-ins.
type system struct {
	dir     string
	record  *record
	store   *standin.Store
	url     string
	nodes   []*member.Node
	members []string
	// memberZones are the zones of the members, and draining those that have reported that they leave.
	memberZones []string
	draining    map[int]bool
	instances   []*instanceProcess
	closers     []func()

	mu        sync.Mutex
	term      logpos.Term
	primaryID string
	// primaryStalenessMs is the MaxStalenessMs of the route of type primary; zero leaves it out.
	primaryStalenessMs int
}

func memberID(i int) string { return fmt.Sprintf("i-rig2-%d", i) }

// freePort returns an address of the IP with a port that is free now.
func freePort(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// startSystem starts the stand-ins and one instance for each entry of instanceZones.
func startSystem(r *record, instanceZones []string, options ...func(s *system)) (*system, error) {
	dir, err := os.MkdirTemp("", "review-rig-2-")
	if err != nil {
		return nil, err
	}
	s := &system{dir: dir, record: r, store: standin.NewStore(), term: 1, primaryID: memberID(0), draining: make(map[int]bool)}
	s.closers = append(s.closers, func() { _ = os.RemoveAll(dir) })
	for _, set := range options {
		set(s)
	}
	if err := s.startMembers(); err != nil {
		return s, err
	}
	if err := s.startPlatform(); err != nil {
		return s, err
	}
	s.publish()
	for i, zone := range instanceZones {
		if err := s.addInstance(i, zone); err != nil {
			return s, err
		}
	}
	for _, p := range s.instances {
		if err := s.startInstance(p); err != nil {
			return s, err
		}
	}
	return s, s.awaitReady(20 * time.Second)
}

func (s *system) startMembers() error {
	for _, zone := range zones {
		if err := s.addMember(zone); err != nil {
			return err
		}
	}
	return nil
}

// addMember starts another member, as a replica of the first one unless it is the first.
func (s *system) addMember(zone string) error {
	i := len(s.nodes)
	address, err := freePort(fmt.Sprintf("127.7.1.%d", i+1))
	if err != nil {
		return err
	}
	s.members = append(s.members, address)
	s.memberZones = append(s.memberZones, zone)
	n := member.New(member.Options{
		Address: address, Primary: s.members[0], Network: netio.TCP{}, ID: memberID(i), Group: groupName,
		ConnectDelay: connectDelay, MaxConnections: maxConns, MaxConcurrentStatements: slots,
		ReplicationLag: replicationLag, StatementCost: 5 * time.Millisecond,
	})
	if err := n.Start(); err != nil {
		return err
	}
	s.nodes = append(s.nodes, n)
	s.closers = append(s.closers, n.Stop)
	return nil
}

func (s *system) startPlatform() error {
	l, err := net.Listen("tcp", "127.7.0.2:0")
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("/", standin.Handler(s.store))
	mux.HandleFunc("POST /promotion", s.servePromotion)
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(l) }()
	s.closers = append(s.closers, func() { _ = server.Close() })
	s.url = l.Addr().String()
	return nil
}

// servePromotion makes the named member the primary of the next term after promotionDelay.
func (s *system) servePromotion(w http.ResponseWriter, r *http.Request) {
	var request struct {
		ID string `json:"Id"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		http.Error(w, "body", http.StatusBadRequest)
		return
	}
	s.record.printf("platform: promotion of %s by %s under %s", request.ID, r.Header.Get("Lease-Holder"), r.Header.Get("Fence-Token"))
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.nodes {
		if memberID(i) != request.ID || s.primaryID == request.ID {
			continue
		}
		s.term++
		s.primaryID = request.ID
		term := s.term
		time.AfterFunc(promotionDelay, func() {
			if s.nodes[i].PromoteInTerm(term) != nil {
				return
			}
			for k, n := range s.nodes {
				if k != i {
					n.SetPrimary(term, s.members[i])
				}
				s.publishMember(k, k == i)
			}
		})
	}
}

func (s *system) put(kind platform.Kind, name string, spec any) {
	value, err := json.Marshal(spec)
	if err != nil {
		panic(err) // unreachable: plain values only
	}
	ctx := context.Background()
	current, _ := s.store.Get(ctx, kind, name)
	_, _ = s.store.Put(ctx, kind, name, value, current.Version)
}

func (s *system) publish() {
	primaryRoute := map[string]any{"Name": "r1", "Host": "pedido-ligacao", "Type": "primary", "Service": groupName, "TimeoutMs": 1000, "SloMs": 200, "Priority": 1}
	if s.primaryStalenessMs > 0 {
		primaryRoute["MaxStalenessMs"] = s.primaryStalenessMs
	}
	s.put(platform.KindManifest, platform.ManifestName, map[string]any{
		"Version":  1,
		"Services": []any{map[string]any{"Name": groupName, "MaxConns": maxConns}},
		"Limits":   map[string]any{"TxIdleMs": 3000},
		"Routes": []any{
			primaryRoute,
			map[string]any{"Name": "r3", "Host": "consulta-vistoria", "Type": "bounded_staleness", "Service": groupName, "TimeoutMs": 3000, "SloMs": 800, "Priority": 2, "MaxStalenessMs": 1500},
			map[string]any{"Name": "r2", "Host": "analise-atendente", "Type": "read_your_writes", "Service": groupName, "TimeoutMs": 1000, "SloMs": 400, "Priority": 2, "MaxStalenessMs": 2500},
		},
	})
	for i := range s.nodes {
		s.publishMember(i, i == 0)
	}
}

func (s *system) publishMember(i int, primary bool) {
	role := "replica"
	if primary {
		role = "primary"
	}
	state := "ready"
	if s.draining[i] {
		state = "draining"
	}
	s.put(platform.KindUpstreams, memberID(i), map[string]any{
		"Service": groupName, "Addr": s.members[i], "Zone": s.memberZones[i], "Version": "v1", "Slots": slots,
		"State": state, "ColdMs": 0, "DbRole": role, "Seq": 1, "born": 1,
	})
}

// addInstance writes the settings file of an instance: the project's template, filled in.
func (s *system) addInstance(i int, zone string) error {
	ip := fmt.Sprintf("127.7.2.%d", i+1)
	p := &instanceProcess{name: fmt.Sprintf("edge-%s-%d", zone, i+1), zone: zone, ip: ip}
	var addresses [4]string
	for k := range addresses {
		a, err := freePort(ip)
		if err != nil {
			return err
		}
		addresses[k] = a
	}
	p.front, p.ready = addresses[0], addresses[1]
	port := func(a string) string { _, port, _ := net.SplitHostPort(a); return port }
	template, err := os.ReadFile("deploy/instance.ini")
	if err != nil {
		return err
	}
	text := string(template)
	if before, rest, ok := strings.Cut(text, "{{#Bounds.QuotaWindowS}}"); ok {
		_, after, _ := strings.Cut(rest, "{{/Bounds.QuotaWindowS}}")
		text = before + after
	}
	text = strings.NewReplacer(
		"{{NodeName}}", p.name, "{{Zone}}", zone, "{{Region}}", "sul-br",
		"{{Listen.Front}}", p.front, "{{Listen.Readiness}}", p.ready, "{{Ip}}", ip,
		"{{InternalPorts.0}}", port(addresses[2]), "{{InternalPorts.1}}", port(addresses[3]),
		"{{platform.Addr}}", s.url, "{{CloudApi.Addr}}", s.url, "{{Bounds.GraceS}}", "6",
		"{{Limits.MemoryMb}}", fmt.Sprint(memoryMB), "{{Limits.CpuShare}}", "0.4", "{{Limits.Cores}}", "1",
		"{{Contracts}}", "base,drain,config,cost,recover,sql,platform",
	).Replace(text)
	p.settings = filepath.Join(s.dir, p.name+".ini")
	p.logFile = filepath.Join(s.dir, p.name+".log")
	s.instances = append(s.instances, p)
	return os.WriteFile(p.settings, []byte(text), 0o600)
}

// startInstance starts the process of an instance with the machine's limit on descriptors.
func (s *system) startInstance(p *instanceProcess) error {
	log, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	// ulimit sets the limit of this one process before it starts.
	p.command = exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d; exec %s serve", maxFDs, binary))
	p.command.Env = append(os.Environ(), "TOPAZROCK_NODE_FILE="+p.settings)
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		return err
	}
	startedProcesses.add(p.command.Process)
	p.exited = make(chan struct{})
	c, exited := p.command, p.exited
	go func() {
		_ = c.Wait()
		close(exited)
	}()
	s.record.printf("%s started", p.name)
	return nil
}

func (p *instanceProcess) signal(sig syscall.Signal) { _ = p.command.Process.Signal(sig) }

// running reports whether the process has not ended.
func (p *instanceProcess) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// isReady asks the readiness probe.
func (p *instanceProcess) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + p.ready + "/v1/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (s *system) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, p := range s.instances {
		for !p.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s does not become ready", p.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// close ends all processes that were started, and the stand-ins.
func (s *system) close() {
	for _, p := range s.instances {
		if p.command != nil && p.running() {
			p.signal(syscall.SIGCONT)
			p.signal(syscall.SIGKILL)
			<-p.exited
		}
	}
	for i := len(s.closers) - 1; i >= 0; i-- {
		s.closers[i]()
	}
}

// recordRuns writes to the record which statements the members ran, by their callers' ids.
func (s *system) recordRuns(prefix string) {
	for i, n := range s.nodes {
		count := 0
		for _, e := range n.ExecutedStatements() {
			if strings.HasPrefix(e.ID, prefix) {
				count++
			}
		}
		s.record.printf("member %s ran %d statements whose id begins with %q", memberID(i), count, prefix)
	}
}

// entryLifetime is three heartbeat intervals: the entry of a member that is silent for so long is
// removed.
const entryLifetime = 3600 * time.Millisecond

// crashMember ends a member without a word. Its entry expires unless it is back before.
func (s *system) crashMember(i int) {
	s.nodes[i].Kill()
	time.AfterFunc(entryLifetime, func() {
		if s.nodes[i].Running() {
			return
		}
		s.removeEntry(i)
	})
}

// removeEntry removes a member's entry.
func (s *system) removeEntry(i int) {
	ctx := context.Background()
	if current, err := s.store.Get(ctx, platform.KindUpstreams, memberID(i)); err == nil {
		_ = s.store.Delete(ctx, platform.KindUpstreams, memberID(i), current.Version)
		s.record.printf("the entry of %s is removed", memberID(i))
	}
}

// drainMember has a member report that it leaves. It serves for drainTime, and then exits and its entry
// is removed.
func (s *system) drainMember(i int, drainTime time.Duration) {
	s.draining[i] = true
	s.publishMember(i, false)
	s.record.printf("%s is draining", memberID(i))
	time.AfterFunc(drainTime, func() {
		s.nodes[i].Kill()
		s.record.printf("%s has left", memberID(i))
		s.removeEntry(i)
	})
}

// returnMember starts a member that has crashed, with its log: as a replica if another member was
// promoted meanwhile.
func (s *system) returnMember(i int) error {
	if err := s.nodes[i].Restart(); err != nil {
		return err
	}
	primary := s.primaryIndex()
	if primary != i {
		s.nodes[i].SetPrimary(s.nodes[primary].Status().EnteredTerm, s.members[primary])
	}
	s.publishMember(i, primary == i)
	return nil
}

// recordLogs writes to the record which lines of the instances' logs contain a text, up to a number for
// each instance.
func (s *system) recordLogs(text string, most int) {
	for _, p := range s.instances {
		log, err := os.ReadFile(p.logFile)
		if err != nil {
			s.record.printf("log of %s: %v", p.name, err)
			continue
		}
		found := 0
		for _, line := range strings.Split(string(log), "\n") {
			if !strings.Contains(line, text) {
				continue
			}
			if found++; found <= most {
				s.record.printf("log of %s: %s", p.name, line)
			}
		}
		s.record.printf("log of %s: %d lines with %q", p.name, found, text)
	}
}

// processes are those that this process has started.
type processes struct {
	mu  sync.Mutex
	all []*os.Process
}

var startedProcesses processes

func (p *processes) add(started *os.Process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.all = append(p.all, started)
}

// kill ends all processes. Those that have ended and were waited for are not signalled.
func (p *processes) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, started := range p.all {
		_ = started.Kill()
	}
}
