package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/document"
)

const (
	testGroup    = "ligacoes-1"
	testPassword = "pampa"
	// waitTimeout limits every wait. It is long enough for a heavily loaded machine.
	waitTimeout  = 60 * time.Second
	pollInterval = 20 * time.Millisecond
)

var failureDomains = []string{"poa-a", "poa-b", "fln-c"}

// testDeployment is a complete system of separate processes connected by TCP.
type testDeployment struct {
	t         *testing.T
	is        *is.I
	dir       string
	platform  string
	members   []string
	callers   []string
	admins    []string
	processes []*exec.Cmd
}

// startDeployment builds the programs, starts a platform, three members and three
// instances, and applies a service document with the command line.
func startDeployment(t *testing.T) *testDeployment {
	d := &testDeployment{t: t, is: is.New(t), dir: t.TempDir()}
	d.mustRun("go", "build", "-o", d.dir+"/", ".", "../topazrock-standin")
	d.platform = freeAddress(t, "127.0.0.2")
	d.startProgram("topazrock-standin", "platform", "--address", d.platform)
	for i := range failureDomains {
		d.members = append(d.members, freeAddress(t, fmt.Sprintf("127.0.0.%d", 11+i)))
	}
	for _, m := range d.members {
		d.startProgram("topazrock-standin", "member", "--address", m, "--primary", d.members[0])
	}
	d.startInstances()
	file := filepath.Join(d.dir, "service.ini")
	d.is.NoErr(os.WriteFile(file, []byte(d.serviceDocument()), 0o600))
	for _, a := range d.admins {
		d.waitUntil("instance answers", func() bool { return d.httpStatus(a, "/healthz") == http.StatusOK })
	}
	d.mustRun(filepath.Join(d.dir, "topazrock"), "--api", d.admins[0], "apply", file, "--new", "--wait")
	for _, a := range d.admins {
		d.waitUntil("instance is ready", func() bool { return d.httpStatus(a, "/readyz") == http.StatusOK })
	}
	return d
}

func (d *testDeployment) startInstances() {
	var list []string
	for i, domain := range failureDomains {
		ip := fmt.Sprintf("127.0.0.%d", 21+i)
		free := freeAddresses(d.t, ip, 3)
		caller, peer, admin := free[0], free[1], free[2]
		d.callers, d.admins = append(d.callers, caller), append(d.admins, admin)
		text := fmt.Sprintf("[instance]\nid = i%d\nfailure_domain = %s\nregion = sul-br\n[caller]\naddress = %s\n[peer]\naddress = %s\n[admin]\naddress = %s\n[platform]\nurl = http://%s\n[upstream]\nuser = topazrock\n[homes]\n[log]\nlevel = info\n",
			i, domain, caller, peer, admin, d.platform)
		file := filepath.Join(d.dir, fmt.Sprintf("i%d.ini", i))
		d.is.NoErr(os.WriteFile(file, []byte(text), 0o600))
		list = append(list, fmt.Sprintf(`{"id":"i%d","failure_domain":%q,"peer_address":%q,"admin_address":%q}`, i, domain, peer, admin))
	}
	d.waitUntil("the platform answers", func() bool {
		body := strings.NewReader(`{"instances":[` + strings.Join(list, ",") + `],"upstreams":[]}`)
		r, err := http.NewRequest(http.MethodPut, "http://"+d.platform+"/v1/inventory", body)
		d.is.NoErr(err)
		response, err := http.DefaultClient.Do(r)
		if err == nil {
			response.Body.Close()
		}
		return err == nil && response.StatusCode < 300
	})
	for i := range failureDomains {
		d.startProgram("topazrock", "serve", "--settings", filepath.Join(d.dir, fmt.Sprintf("i%d.ini", i)))
	}
}

func (d *testDeployment) serviceDocument() string {
	verifier, err := document.NewVerifier(testPassword)
	d.is.NoErr(err)
	var members []string
	for i, m := range d.members {
		members = append(members, failureDomains[i]+"/"+m)
	}
	return fmt.Sprintf("[service]\nname = service\n[group %s]\nmembers = %s\nconnections = 35\nslots = 5\n[user clerk]\nverifier = %s\n[limits]\n[read application]\npriority = 3\n[request fee-payment]\nrepeat = never\npriority = 1\n",
		testGroup, strings.Join(members, ", "), verifier)
}

// startProgram starts a program from the deployment's directory. The process is killed at
// the end of the test if it is still running.
func (d *testDeployment) startProgram(program string, arguments ...string) *exec.Cmd {
	c := exec.Command(filepath.Join(d.dir, program), arguments...)
	var log strings.Builder
	c.Stdout, c.Stderr = &log, &log
	d.is.NoErr(c.Start())
	d.processes = append(d.processes, c)
	d.t.Cleanup(func() {
		if c.ProcessState == nil {
			_ = c.Process.Kill()
			_ = c.Wait()
		}
		if d.t.Failed() {
			d.t.Logf("%s %v:\n%s", program, arguments, log.String())
		}
	})
	return c
}

// instanceProcess returns the process of instance i. The instances are the last three
// processes that were started.
func (d *testDeployment) instanceProcess(i int) *exec.Cmd {
	return d.processes[len(d.processes)-len(failureDomains)+i]
}

func (d *testDeployment) mustRun(program string, arguments ...string) {
	out, err := exec.Command(program, arguments...).CombinedOutput()
	if err != nil {
		d.t.Fatalf("%s %v: %v\n%s", program, arguments, err, out)
	}
}

// httpStatus returns the HTTP status of a path of the administration API; zero if
// there is no response.
func (d *testDeployment) httpStatus(admin, page string) int {
	response, err := http.Get("http://" + admin + page)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// waitUntil polls until isTrue returns true, and fails the test after waitTimeout.
func (d *testDeployment) waitUntil(condition string, isTrue func() bool) {
	d.t.Helper()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	limit := time.NewTimer(waitTimeout)
	defer limit.Stop()
	for !isTrue() {
		select {
		case <-ticker.C:
		case <-limit.C:
			d.t.Fatalf("timeout while waiting until: %s", condition)
		}
	}
}

func (d *testDeployment) tryConnect(i int) (*pgx.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	return pgx.Connect(ctx, fmt.Sprintf("postgres://clerk:%s@%s/%s?sslmode=disable", testPassword, d.callers[i], testGroup))
}

func (d *testDeployment) mustConnect(i int) *pgx.Conn {
	d.t.Helper()
	c, err := d.tryConnect(i)
	d.is.NoErr(err)
	d.t.Cleanup(func() { _ = c.Close(context.Background()) })
	return c
}

func (d *testDeployment) sendSignal(c *exec.Cmd, s syscall.Signal) { d.is.NoErr(c.Process.Signal(s)) }

func freeAddress(t *testing.T, ip string) string { return freeAddresses(t, ip, 1)[0] }

// freeAddresses returns n addresses with ports that are currently free. All ports
// are held until the last one is found; otherwise the system could return the same
// port twice.
func freeAddresses(t *testing.T, ip string, n int) []string {
	var addresses []string
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		is.New(t).NoErr(err)
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses
}
