package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// errTimeout reports that something that the case needs did not happen in time.
var errTimeout = errors.New("timeout")

// rig is one run of a case: the platform, the members, and the processes of the instances.
type rig struct {
	*record
	trouble  bool
	program  string
	template string
	dir      string
	// network is the first three bytes of the addresses of this run.
	network   string
	store     *store
	promotion *promotionService
	groups    []*group
	instances []*instance
	// findOwner, if it is set before the deployment starts, tells the members which instance opened
	// a connection.
	findOwner func(remote net.Addr) int
}

func newRig(file, program, template string, trouble bool) (*rig, error) {
	rec, err := newRecord(file)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "topazrock-review-")
	if err != nil {
		return nil, err
	}
	text, err := os.ReadFile(template)
	if err != nil {
		return nil, err
	}
	r := &rig{record: rec, trouble: trouble, program: program, template: string(text), dir: dir}
	r.network = fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(256))
	r.store = newStore(rec)
	if err := r.store.serve(r.address(1, platformPort)); err != nil {
		return nil, err
	}
	r.promotion = &promotionService{record: rec}
	if err := r.promotion.serve(r.address(2, platformPort)); err != nil {
		return nil, err
	}
	return r, nil
}

// Ports of the run. Every process has an address of its own.
const (
	platformPort  = 8783
	memberPort    = 8149
	frontPort     = 8784
	readinessPort = 8785
	peerPort      = 7440
	adminPort     = 7441
)

func (r *rig) address(host, port int) string { return fmt.Sprintf("%s.%d:%d", r.network, host, port) }

// note writes a line about the run itself.
func (r *rig) note(format string, args ...any) { r.add("run", format, args...) }

// finish writes the result of a scenario and returns the exit code.
func (r *rig) finish(broken bool, err error) int {
	switch {
	case err != nil:
		r.note("the case could not run: %v", err)
		return exitNotRun
	case broken:
		r.note("RULE BROKEN")
		return exitBroken
	default:
		r.note("the rule held")
		return exitHeld
	}
}

// close ends all processes that the rig has started.
func (r *rig) close() {
	for _, i := range r.instances {
		i.kill()
	}
	_ = os.RemoveAll(r.dir)
	r.record.close()
}

// instance is one process of the program under test.
type instance struct {
	rig        *rig
	name, zone string
	host       int
	process    *exec.Cmd
	starts     int
	logFile    string
}

// addInstance adds an instance without starting it.
func (r *rig) addInstance(name, zone string) *instance {
	i := &instance{rig: r, name: name, zone: zone, host: 20 + len(r.instances)}
	r.instances = append(r.instances, i)
	return i
}

func (i *instance) front() string { return i.rig.address(i.host, frontPort) }

// settings fills in the template of the deploy file.
func (i *instance) settings() string {
	r := i.rig
	text := r.template
	if from := strings.Index(text, "{{#Bounds.QuotaWindowS}}"); from >= 0 {
		const end = "{{/Bounds.QuotaWindowS}}"
		to := strings.Index(text, end)
		text = text[:from] + text[to+len(end):]
	}
	return strings.NewReplacer(
		"{{NodeName}}", i.name,
		"{{Zone}}", i.zone,
		"{{Region}}", "sul-br",
		"{{Listen.Front}}", i.front(),
		"{{Listen.Readiness}}", r.address(i.host, readinessPort),
		"{{Ip}}", fmt.Sprintf("%s.%d", r.network, i.host),
		"{{InternalPorts.0}}", fmt.Sprint(peerPort),
		"{{InternalPorts.1}}", fmt.Sprint(adminPort),
		"{{platform.Addr}}", r.address(1, platformPort),
		"{{CloudApi.Addr}}", r.address(2, platformPort),
		"{{Bounds.GraceS}}", "6",
		"{{Limits.MemoryMb}}", "284",
		"{{Limits.CpuShare}}", "0.4",
		"{{Limits.Cores}}", "1",
		"{{Contracts}}", "base,drain,config,cost,recover,sql,platform",
	).Replace(text)
}

// start starts the process as the deploy file does.
func (i *instance) start() error {
	file := filepath.Join(i.rig.dir, i.name+".ini")
	if err := os.WriteFile(file, []byte(i.settings()), 0o600); err != nil {
		return err
	}
	i.starts++
	i.logFile = filepath.Join(i.rig.dir, fmt.Sprintf("%s.%d.log", i.name, i.starts))
	log, err := os.Create(i.logFile)
	if err != nil {
		return err
	}
	defer log.Close()
	i.process = exec.Command(i.rig.program, "serve")
	i.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + i.rig.dir, "LANG=C", "TOPAZROCK_NODE_FILE=" + file}
	i.process.Stdout, i.process.Stderr = log, log
	i.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := i.process.Start(); err != nil {
		return err
	}
	i.rig.note("%s started, process %d", i.name, i.process.Process.Pid)
	return nil
}

// kill kills the process and waits for its end.
func (i *instance) kill() {
	if i.process == nil {
		return
	}
	_ = i.process.Process.Kill()
	_ = i.process.Wait()
	i.process = nil
}

// ready asks the readiness address as the platform does.
func (i *instance) ready() bool {
	c := http.Client{Timeout: time.Second}
	response, err := c.Get("http://" + i.rig.address(i.host, readinessPort) + "/v1/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// log returns what the instance's present process has written.
func (i *instance) log() string {
	text, _ := os.ReadFile(i.logFile)
	return string(text)
}

// isHome reports whether the instance's log says that it is home to the group.
func (i *instance) isHome(group string) bool {
	home := false
	for line := range strings.Lines(i.log()) {
		if !strings.Contains(line, `"group":"`+group+`"`) {
			continue
		}
		home = home || strings.Contains(line, "Home of a group was started.")
		home = home && !strings.Contains(line, "Home of a group is retired.")
	}
	return home
}

// startAll starts all instances and waits until they are ready.
func (r *rig) startAll() error {
	for _, i := range r.instances {
		if err := i.start(); err != nil {
			return err
		}
	}
	for _, i := range r.instances {
		if err := waitFor(20*time.Second, i.name+" is ready", i.ready); err != nil {
			return err
		}
	}
	return nil
}

// waitFor polls until a condition holds.
func waitFor(limit time.Duration, what string, holds func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("%w: %s", errTimeout, what)
}

// listen opens a listener.
func listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }
