package directory

import (
	"slices"
	"time"

	"github.com/topazrock/topazrock/internal/document"
	"github.com/topazrock/topazrock/internal/platform"
	"github.com/topazrock/topazrock/internal/workspace"
)

// Limits that the manifest does not set.
const (
	// confirmTimeout bounds the wait for a replica's confirmation: several times the usual
	// replication lag, and well below the callers' timeouts.
	confirmTimeout = time.Second
	// answerBuffer holds a complete response; the line protocol limits a response to one
	// megabyte.
	answerBuffer = 2 << 20
	// maxQueue is the maximum queue length of each class on one instance.
	maxQueue = 1000
	// requestTimeout applies to requests whose class sets no timeout.
	requestTimeout = 5 * time.Second
)

// view is an immutable snapshot of the directory.
type view struct {
	// manifestCount is the number of manifests applied so far, and present holds the members'
	// entries ordered by address; all other fields are derived from the manifest and present.
	manifestCount int
	present       []platform.Upstream

	version       int64
	manifestKnown bool
	groupCount    int
	services      map[string]*document.Service
	databases     map[string]document.Database
	// workspaces is shared by all views of the same manifest.
	workspaces *workspace.Table
	upstreams  map[string]platform.Upstream
	// leaving contains each member's address and is true for members that are leaving.
	leaving map[string]bool
}

func emptyView() *view { return &view{} }

// buildView builds the view of the current state. A group whose entries have not changed under
// the same manifest keeps its service from the previous view: with hundreds of groups, changes
// of a single member are frequent. The caller holds d.mu.
func (d *Directory) buildView(previous *view, present []platform.Upstream) *view {
	v := &view{
		manifestCount: d.manifestCount,
		present:       present,
		version:       d.manifest.Version,
		manifestKnown: d.manifestKnown,
		groupCount:    len(d.manifest.Groups),
		services:      make(map[string]*document.Service, len(d.manifest.Groups)),
		databases:     previous.databases,
		workspaces:    d.manifest.Workspaces,
		upstreams:     make(map[string]platform.Upstream, len(present)),
		leaving:       make(map[string]bool, len(present)),
	}
	for _, u := range present {
		v.upstreams[u.Address] = u
		v.leaving[u.Address] = u.Leaving
	}
	oldMembers, newMembers := groupUpstreams(previous.present), groupUpstreams(present)
	sameManifest := previous.manifestCount == v.manifestCount
	rebuilt := make(map[string]*document.Service)
	for _, g := range d.manifest.Groups {
		s := previous.services[g.Name]
		if !sameManifest || !slices.Equal(oldMembers[g.Name], newMembers[g.Name]) {
			s = d.newService(g, newMembers[g.Name])
			rebuilt[g.Name] = s
		}
		if s != nil {
			v.services[g.Name] = s
		}
	}
	d.addReadClasses(rebuilt)
	if !sameManifest {
		v.databases = d.indexDatabases()
	}
	return v
}

// groupUpstreams partitions entries by database group.
func groupUpstreams(entries []platform.Upstream) map[string][]platform.Upstream {
	groups := make(map[string][]platform.Upstream)
	for _, u := range entries {
		groups[u.Group] = append(groups[u.Group], u)
	}
	return groups
}

// addReadClasses adds the read classes of the databases to rebuilt services and indexes them.
func (d *Directory) addReadClasses(rebuilt map[string]*document.Service) {
	for _, b := range d.manifest.Databases {
		if s := rebuilt[b.Group]; s != nil {
			s.ReadClasses = append(s.ReadClasses, b.Class)
		}
	}
	for _, s := range rebuilt {
		if s != nil {
			s.IndexReadClasses()
		}
	}
}

// indexDatabases returns the databases of the manifest by name.
func (d *Directory) indexDatabases() map[string]document.Database {
	all := make(map[string]document.Database, len(d.manifest.Databases))
	for _, b := range d.manifest.Databases {
		all[b.Name] = document.Database{Name: b.Name, Group: b.Group, Class: b.Class.Name, Public: b.Public}
	}
	return all
}

// newService returns the service of a group, or nil if the group has no members.
func (d *Directory) newService(g Group, present []platform.Upstream) *document.Service {
	if len(present) == 0 {
		return nil
	}
	slots := 0
	var members []document.Member
	for _, u := range present {
		slots += u.Slots
		members = append(members, document.Member{Address: u.Address, FailureDomain: u.FailureDomain})
	}
	return &document.Service{
		Name: g.Name,
		Groups: []document.Group{{
			Name: g.Name, Members: members, Slots: slots,
			Connections: g.MemberConnections * len(members), MemberConnections: g.MemberConnections,
			// The majority must not shrink when entries expire: two instances that see
			// different subsets of a group could each fence a majority of their own.
			MinSize: document.MinMembers,
		}},
		Limits: document.Limits{
			StatementTimeout:       requestTimeout,
			RequestTimeout:         requestTimeout,
			ConfirmTimeout:         confirmTimeout,
			TransactionIdleTimeout: d.manifest.TransactionIdleTimeout,
			AnswerBuffer:           answerBuffer,
			MaxQueue:               maxQueue,
		},
	}
}

// Services returns the service of each group that has members, and the manifest's version.
func (d *Directory) Services() ([]*document.Service, int64) {
	v := d.current.Load()
	var all []*document.Service
	for _, s := range v.services {
		all = append(all, s)
	}
	return all, v.version
}

// GroupCount returns the number of groups in the manifest, those without members included.
func (d *Directory) GroupCount() int { return d.current.Load().groupCount }

// FindService returns the service of a group.
func (d *Directory) FindService(group string) (*document.Service, bool) {
	s, ok := d.current.Load().services[group]
	return s, ok
}

// FindDatabase returns the database with a name.
func (d *Directory) FindDatabase(name string) (document.Database, bool) {
	b, ok := d.current.Load().databases[name]
	return b, ok
}

// Workspaces returns the workspaces in force, or nil if callers need no key.
func (d *Directory) Workspaces() *workspace.Table { return d.current.Load().workspaces }

// MemberID returns the ID of the member expected at an address of a group.
func (d *Directory) MemberID(group, address string) (string, bool) {
	u, ok := d.current.Load().upstreams[address]
	if !ok || u.Group != group {
		return "", false
	}
	return u.ID, true
}

// MembersReportStart reports whether some member's entry names the time at which the member started.
func (d *Directory) MembersReportStart() bool {
	return slices.ContainsFunc(d.current.Load().present, func(u platform.Upstream) bool { return u.Started != 0 })
}

// MemberStarted returns when the member at an address started, in Unix milliseconds; zero if its
// entry does not name it.
func (d *Directory) MemberStarted(address string) int64 {
	return d.current.Load().upstreams[address].Started
}

// IsLeaving reports whether the member at an address is leaving and must get no new work.
func (d *Directory) IsLeaving(address string) bool { return d.current.Load().leaving[address] }

// PrimaryAddress returns the address of the group's member that reports itself as primary, or an
// empty string if none or several do.
func (d *Directory) PrimaryAddress(group string) string {
	primary := ""
	for address, u := range d.current.Load().upstreams {
		if u.Group != group || !u.ClaimsPrimary {
			continue
		}
		if primary != "" {
			return ""
		}
		primary = address
	}
	return primary
}

// Ready reports whether a manifest is in force and at least one group has members.
func (d *Directory) Ready() bool {
	v := d.current.Load()
	return v.manifestKnown && len(v.services) > 0
}
