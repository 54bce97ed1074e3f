package workspace

import (
	"cmp"
	"errors"
	"slices"
)

var errDigestLength = errors.New("workspace: the digest of a key has the wrong length")

// Entry is a workspace with its keys.
type Entry struct {
	Workspace
	Keys []KeyDigest
}

// Table looks up workspaces by key and by name. It is immutable. A nil Table has no workspaces
// and requires no key from callers.
type Table struct {
	byKey  map[KeyDigest]Workspace
	byName map[string]Workspace
	// all holds the workspaces ordered by name.
	all []Workspace
}

// Fault describes an entry, or a key of an entry, that was left out of a Table.
type Fault struct {
	Workspace string
	Reason    string
}

// Reasons of faults.
const (
	FaultInvalidName   = "the name is missing or not one word"
	FaultDuplicateName = "two entries have the name"
	FaultDuplicateKey  = "another workspace has the key as well"
	FaultNegativeLimit = "the limit is negative"
)

// NewTable builds a table from entries. It leaves out invalid entries, and keys that belong to
// two workspaces, and reports them as faults.
func NewTable(entries []Entry) (*Table, []Fault) {
	t := &Table{byKey: make(map[KeyDigest]Workspace), byName: make(map[string]Workspace)}
	var faults []Fault
	nameCounts := make(map[string]int)
	for _, e := range entries {
		nameCounts[e.Name]++
	}
	owners := make(map[KeyDigest]string)
	shared := make(map[KeyDigest]bool)
	for _, e := range entries {
		if reason := faultReason(e, nameCounts[e.Name]); reason != "" {
			faults = append(faults, Fault{Workspace: e.Name, Reason: reason})
			continue
		}
		t.byName[e.Name] = e.Workspace
		for _, k := range e.Keys {
			owner, found := owners[k]
			shared[k] = shared[k] || found && owner != e.Name
			owners[k] = e.Name
			t.byKey[k] = e.Workspace
		}
	}
	for k, isShared := range shared {
		if isShared {
			faults = append(faults, Fault{Workspace: owners[k], Reason: FaultDuplicateKey})
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

// faultReason returns why an entry is invalid; empty if it is valid.
func faultReason(e Entry, nameCount int) string {
	switch {
	case !validName(e.Name):
		return FaultInvalidName
	case nameCount > 1:
		return FaultDuplicateName
	case e.Limit.Rate < 0 || e.Limit.Burst < 0:
		return FaultNegativeLimit
	default:
		return ""
	}
}

// maxNameLength bounds a workspace's name, in bytes. The name is sent to members with each
// connection.
const maxNameLength = 256

// validName reports whether a name can be sent to members, as a single word of a line.
func validName(name string) bool {
	if name == "" || len(name) > maxNameLength {
		return false
	}
	for _, r := range name {
		if r <= ' ' || r == 0x7f {
			return false
		}
	}
	return true
}

// ByKey returns the workspace that the key belongs to.
func (t *Table) ByKey(k KeyDigest) (Workspace, bool) {
	if t == nil {
		return Workspace{}, false
	}
	w, ok := t.byKey[k]
	return w, ok
}

// ByName returns the workspace with the given name.
func (t *Table) ByName(name string) (Workspace, bool) {
	if t == nil {
		return Workspace{}, false
	}
	w, ok := t.byName[name]
	return w, ok
}

// All returns the workspaces ordered by name. The result must not be modified.
func (t *Table) All() []Workspace {
	if t == nil {
		return nil
	}
	return t.all
}

// RequiresKey reports whether callers need a key.
func (t *Table) RequiresKey() bool { return t != nil }
