package main

import (
	"errors"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/topazrock/topazrock/internal/cli"
)

// runCLI runs a command against the administration API of instance i and returns
// its exit code and output.
func (d *testDeployment) runCLI(i int, arguments ...string) (int, string) {
	arguments = append([]string{"--api", d.admins[i]}, arguments...)
	out, err := exec.Command(filepath.Join(d.dir, "topazrock"), arguments...).CombinedOutput()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exit.ExitCode(), string(out)
	}
	d.is.NoErr(err)
	return cli.ExitOK, string(out)
}

// setFaults configures the faults that the platform simulates.
func (d *testDeployment) setFaults(body string) {
	response, err := http.Post("http://"+d.platform+"/v1/faults", "application/json", strings.NewReader(body))
	d.is.NoErr(err)
	d.is.NoErr(response.Body.Close())
}

// Operators apply changes in five situations: version 1 is current; version 1 was
// replaced by another operator's change; the platform stores the change but its
// response is lost; the platform is down; an instance has drained. Each outcome must
// be reported correctly: after a wrong report, an operator would apply a change
// twice or not notice that it is lost.
func TestCLIReportsApplyOutcomes(t *testing.T) {
	d := startDeployment(t)
	code, text := d.runCLI(0, "get", "service")
	d.is.Equal(code, cli.ExitOK)
	edited := filepath.Join(d.dir, "edited.ini")
	d.is.NoErr(os.WriteFile(edited, []byte(text), 0o600))

	code, out := d.runCLI(0, "apply", "--wait", "--operator", "ana", edited)
	d.is.Equal(code, cli.ExitOK)
	d.is.True(strings.Contains(out, "accepted as version 2"))
	code, out = d.runCLI(1, "apply", "--operator", "rui", edited)
	d.is.Equal(code, cli.ExitConflict)
	d.is.True(strings.Contains(out, "version 2 by ana stands"))

	d.setFaults(`{"lose_answers":1}`)
	code, out = d.runCLI(2, "apply", "--wait", "--if-version", "2", edited)
	d.is.Equal(code, cli.ExitOK)
	d.is.True(strings.Contains(out, "accepted as version 3"))

	d.setFaults(`{"outage":true}`)
	code, _ = d.runCLI(0, "apply", "--if-version", "3", edited)
	d.is.Equal(code, cli.ExitNotStored)
	code, out = d.runCLI(0, "versions", "service")
	d.is.Equal(code, cli.ExitOK)
	d.is.Equal(strings.Count(out, " 3 "), len(failureDomains)) // all have version 3 in force
	d.setFaults(`{}`)

	code, out = d.runCLI(0, "status")
	d.is.Equal(code, cli.ExitOK)
	d.is.True(strings.Contains(out, "primary"))
	code, _ = d.runCLI(2, "drain")
	d.is.Equal(code, cli.ExitOK)
	d.is.NoErr(d.instanceProcess(2).Wait()) // exit code 0
	code, out = d.runCLI(0, "apply", "--wait", "--wait-time", "2s", "--if-version", "3", edited)
	d.is.Equal(code, cli.ExitNotAllInstances)
	d.is.True(strings.Contains(out, "i2"))
}
