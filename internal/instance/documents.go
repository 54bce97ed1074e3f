package instance

import (
	"context"
	"sync/atomic"

	"github.com/topazrock/topazrock/internal/config"
	"github.com/topazrock/topazrock/internal/document"
	"github.com/topazrock/topazrock/internal/membership"
	"github.com/topazrock/topazrock/internal/objectwatch"
	"github.com/topazrock/topazrock/internal/peer"
	"github.com/topazrock/topazrock/internal/workspace"
)

// Documents provides the service documents in force.
type Documents interface {
	// FindService returns the service that the group belongs to.
	FindService(group string) (*document.Service, bool)
	// Ready reports whether the services are known.
	Ready() bool
	// Groups returns the groups of all services. The result must not be modified.
	Groups() []VersionedGroup
	// Workspaces returns the workspaces in force, or nil if callers belong to none.
	Workspaces() *workspace.Table
	// IsLeaving reports whether a member of a group must not get new work.
	IsLeaving(group, address string) bool
	// Subscribe calls f after each change. f must not block.
	Subscribe(f func())
	// Run keeps the services up to date until ctx ends.
	Run(ctx context.Context) error
}

// sharingUser is implemented by Documents that share their platform calls with other
// instances.
type sharingUser interface {
	UseSharing(s *objectwatch.Sharing)
}

// peerUser is implemented by Documents that exchange documents with other instances.
type peerUser interface {
	UsePeers(f objectwatch.Fleet, c peer.Caller, r peer.HandlerRegistry)
}

// VersionedGroup is a group and the version of the document that defines it.
type VersionedGroup struct {
	document.Group
	Version int64
}

// storedDocuments implements Documents with the documents in the product's own store.
type storedDocuments struct {
	store   *config.Store
	members *membership.Members
	// workspaces holds the workspaces of all documents in force.
	workspaces atomic.Pointer[workspace.Table]
}

func newStoredDocuments(s *config.Store, m *membership.Members) *storedDocuments {
	d := &storedDocuments{store: s, members: m}
	s.Subscribe(func(config.Applied) { d.rebuildWorkspaces() })
	return d
}

// rebuildWorkspaces collects the workspaces of all documents. The names of workspaces of
// two services always differ.
func (d *storedDocuments) rebuildWorkspaces() {
	var entries []workspace.Entry
	for _, a := range d.store.All() {
		for _, w := range a.Service.Workspaces {
			entry := w.Workspace
			entry.Name = a.Service.WorkspaceFullName(w)
			entries = append(entries, workspace.Entry{Workspace: entry})
		}
	}
	table, _ := workspace.NewTable(entries)
	d.workspaces.Store(table)
}

// Workspaces implements Documents.
func (d *storedDocuments) Workspaces() *workspace.Table { return d.workspaces.Load() }

// FindService implements Documents.
func (d *storedDocuments) FindService(group string) (*document.Service, bool) {
	a, _, ok := d.store.FindGroup(group)
	return a.Service, ok
}

// Ready implements Documents.
func (d *storedDocuments) Ready() bool { return d.store.Ready() }

// Groups implements Documents.
func (d *storedDocuments) Groups() []VersionedGroup {
	var all []VersionedGroup
	for _, a := range d.store.All() {
		for _, g := range a.Service.Groups {
			all = append(all, VersionedGroup{Group: g, Version: a.Version})
		}
	}
	return all
}

// IsLeaving implements Documents.
func (d *storedDocuments) IsLeaving(_, address string) bool {
	return d.members.IsUpstreamLeaving(address)
}

// Subscribe implements Documents.
func (d *storedDocuments) Subscribe(f func()) { d.store.Subscribe(func(config.Applied) { f() }) }

// Run implements Documents.
func (d *storedDocuments) Run(ctx context.Context) error { return d.store.Run(ctx) }
