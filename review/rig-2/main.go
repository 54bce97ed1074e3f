//go:build reviewrig

package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errBroken reports that the rule of the case was broken.
var errBroken = errors.New("the rule was broken")

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) printf(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, arguments...))
}

// cases are the cases by name. trouble is false if the disruption is left out.
var cases = map[string]func(r *record, trouble bool) error{
	"descriptors": runDescriptors,
	"staleness":   runStaleness,
	"false-copy":  runFalseCopy,
	"memory":      runMemory,
	"replaced":    runReplaced,
	"restart":     runRestart,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig-2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	r := &record{file: file, start: time.Now()}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		startedProcesses.kill()
		os.Exit(exitNotRun)
	}()
	err = cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	switch {
	case err == nil:
		r.printf("the rule held")
		os.Exit(exitHeld)
	case errors.Is(err, errBroken):
		r.printf("%v", err)
		fmt.Println(err)
		os.Exit(exitBroken)
	default:
		r.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
}
