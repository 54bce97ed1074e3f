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

// operator runs a command against the administration API of an instance and
// returns its exit code and what it printed.
func (p *processes) operator(i int, arguments ...string) (int, string) {
	arguments = append([]string{"--api", p.admins[i]}, arguments...)
	out, err := exec.Command(filepath.Join(p.folder, "topazrock"), arguments...).CombinedOutput()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exit.ExitCode(), string(out)
	}
	p.is.NoErr(err)
	return cli.ExitOK, string(out)
}

// faults sets the platform's switches.
func (p *processes) faults(body string) {
	answer, err := http.Post("http://"+p.platform+"/v1/faults", "application/json", strings.NewReader(body))
	p.is.NoErr(err)
	p.is.NoErr(answer.Body.Close())
}

// An operator edits version 1. In order: the change is accepted; a second
// operator who edited version 1 too is told which version stands; the answer to
// a stored change is lost on the way from the platform; the platform is down;
// an instance drains. Each must be reported as what it is: an operator who is
// told the wrong outcome applies twice, or walks away from a lost change.
func TestOperatorIsToldWhatBecameOfAChange(t *testing.T) {
	p := startProcesses(t)
	code, text := p.operator(0, "get", "service")
	p.is.Equal(code, cli.ExitOK)
	edited := filepath.Join(p.folder, "edited.ini")
	p.is.NoErr(os.WriteFile(edited, []byte(text), 0o600))

	code, out := p.operator(0, "apply", "--wait", "--operator", "ana", edited)
	p.is.Equal(code, cli.ExitOK)
	p.is.True(strings.Contains(out, "accepted as version 2"))
	code, out = p.operator(1, "apply", "--operator", "rui", edited)
	p.is.Equal(code, cli.ExitConflict)
	p.is.True(strings.Contains(out, "version 2 by ana stands"))

	p.faults(`{"lose_answers":1}`)
	code, out = p.operator(2, "apply", "--wait", "--if-version", "2", edited)
	p.is.Equal(code, cli.ExitOK)
	p.is.True(strings.Contains(out, "accepted as version 3"))

	p.faults(`{"outage":true}`)
	code, _ = p.operator(0, "apply", "--if-version", "3", edited)
	p.is.Equal(code, cli.ExitNoEffect)
	code, out = p.operator(0, "versions", "service")
	p.is.Equal(code, cli.ExitOK)
	p.is.Equal(strings.Count(out, " 3 "), len(processDomains)) // all have version 3 in force
	p.faults(`{}`)

	code, out = p.operator(0, "status")
	p.is.Equal(code, cli.ExitOK)
	p.is.True(strings.Contains(out, "primary"))
	code, _ = p.operator(2, "drain")
	p.is.Equal(code, cli.ExitOK)
	p.is.NoErr(p.instance(2).Wait()) // the process exits with 0
	code, out = p.operator(0, "apply", "--wait", "--wait-time", "2s", "--if-version", "3", edited)
	p.is.Equal(code, cli.ExitNotEverywhere)
	p.is.True(strings.Contains(out, "i2"))
}
