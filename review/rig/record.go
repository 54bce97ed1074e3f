package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record is the file that holds what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now()}, nil
}

// add writes one line: who saw what.
func (r *record) add(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := strings.ReplaceAll(fmt.Sprintf(format, args...), "\r\n", " | ")
	fmt.Fprintf(r.file, "%8.3f  %-14s %s\n", time.Since(r.start).Seconds(), who, text)
}

func (r *record) close() { _ = r.file.Close() }
