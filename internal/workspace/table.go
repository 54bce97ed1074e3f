package workspace

import (
	"cmp"
	"errors"
	"slices"
)

var errDigestLength = errors.New("workspace: a key's digest has another length")

// Entry is a workspace with its keys.
type Entry struct {
	Workspace
	Keys []KeyDigest
}

// Table finds workspaces. It is never changed after it was made. A nil Table knows no
// workspace and asks callers for no key.
type Table struct {
	byKey  map[KeyDigest]Workspace
	byName map[string]Workspace
	// all are the workspaces in the order of their names.
	all []Workspace
}

// Fault is an entry, or a key of it, that names nothing.
type Fault struct {
	Workspace string
	Reason    string
}

// Reasons of faults.
const (
	FaultName       = "the name is missing or not one word"
	FaultDoubleName = "two entries have the name"
	FaultDoubleKey  = "another workspace has the key as well"
	FaultLimit      = "the limit is negative"
)

// NewTable makes a table of entries. An entry that cannot hold as written names nothing, and
// neither does a key that two workspaces have; the others hold.
func NewTable(entries []Entry) (*Table, []Fault) {
	t := &Table{byKey: make(map[KeyDigest]Workspace), byName: make(map[string]Workspace)}
	var faults []Fault
	named := make(map[string]int)
	for _, e := range entries {
		named[e.Name]++
	}
	owners := make(map[KeyDigest]string)
	shared := make(map[KeyDigest]bool)
	for _, e := range entries {
		if reason := faultOf(e, named[e.Name]); reason != "" {
			faults = append(faults, Fault{Workspace: e.Name, Reason: reason})
			continue
		}
		t.byName[e.Name] = e.Workspace
		for _, k := range e.Keys {
			owner, taken := owners[k]
			shared[k] = shared[k] || taken && owner != e.Name
			owners[k] = e.Name
			t.byKey[k] = e.Workspace
		}
	}
	for k, s := range shared {
		if s {
			faults = append(faults, Fault{Workspace: owners[k], Reason: FaultDoubleKey})
			delete(t.byKey, k)
		}
	}
	for _, w := range t.byName {
		t.all = append(t.all, w)
	}
	slices.SortFunc(t.all, func(a, b Workspace) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Reason, b.Reason))
	})
	return t, faults
}

// faultOf returns why an entry names nothing; empty if it holds.
func faultOf(e Entry, entriesOfName int) string {
	switch {
	case !validName(e.Name):
		return FaultName
	case entriesOfName > 1:
		return FaultDoubleName
	case e.Limit.Rate < 0 || e.Limit.Burst < 0:
		return FaultLimit
	default:
		return ""
	}
}

// maxName bounds a workspace's name, in bytes. It is sent to members with each connection.
const maxName = 256

// validName reports whether members can be told a name: one word of a line.
func validName(name string) bool {
	if name == "" || len(name) > maxName {
		return false
	}
	for _, r := range name {
		if r <= ' ' || r == 0x7f {
			return false
		}
	}
	return true
}

// Find returns the workspace that has a key.
func (t *Table) Find(k KeyDigest) (Workspace, bool) {
	if t == nil {
		return Workspace{}, false
	}
	w, ok := t.byKey[k]
	return w, ok
}

// Named returns the workspace of a name.
func (t *Table) Named(name string) (Workspace, bool) {
	if t == nil {
		return Workspace{}, false
	}
	w, ok := t.byName[name]
	return w, ok
}

// All returns the workspaces in the order of their names. The result must not be changed.
func (t *Table) All() []Workspace {
	if t == nil {
		return nil
	}
	return t.all
}

// Required reports whether callers need a key.
func (t *Table) Required() bool { return t != nil }
