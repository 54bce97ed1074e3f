// Command review-rig runs the cases of the review against the programs of this repository. It
// starts instances as separate processes and plays the platform, the members of a database group
// and the requesters on loopback addresses, over the protocol of the users' pages.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// runLimit bounds a run; a script may take 120 seconds.
const runLimit = 100 * time.Second

// scenarios are the cases by name. A scenario reports whether its rule was broken; an error means
// that the case could not run.
var scenarios = map[string]func(*rig) (bool, error){
	"restarted-home":    restartedHome,
	"frozen-holder":     frozenHolder,
	"moved-route":       movedRoute,
	"restarted-replica": restartedReplica,
}

func main() {
	os.Exit(run())
}

func run() int {
	name := flag.String("case", "", "case to run")
	file := flag.String("record", "", "file for the record of the run")
	program := flag.String("program", "target/topazrock", "the program under test")
	template := flag.String("template", "deploy/instance.ini", "template of its settings")
	flag.Parse()
	scenario := scenarios[*name]
	if scenario == nil || *file == "" {
		flag.Usage()
		return exitNotRun
	}
	r, err := newRig(*file, *program, *template, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "review-rig:", err)
		return exitNotRun
	}
	defer r.close()
	done := make(chan int, 1)
	go func() { done <- r.finish(scenario(r)) }()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	select {
	case code := <-done:
		return code
	case <-stopped:
		r.note("the run was stopped")
		return exitNotRun
	case <-time.After(runLimit):
		r.note("the run took too long")
		return exitNotRun
	}
}
