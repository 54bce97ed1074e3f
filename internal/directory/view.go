package directory

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"sync"
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
	// manifestCount is the number of manifests applied so far.
	manifestCount int
	version       int64
	manifestKnown bool
	groupCount    int
	// upstreams holds the members by place, and members those of each group ordered by address.
	upstreams *index[place, platform.Upstream]
	members   *index[string, []platform.Upstream]
	// services holds the service of each group that has members.
	services  *index[string, *document.Service]
	databases map[string]document.Database
	// workspaces is shared by all views of the same manifest.
	workspaces *workspace.Table
	// reportStart is set once the entry of some member has named its start.
	reportStart bool
	// listServices lists the services once for all callers.
	listServices func() []*document.Service
}

func emptyView() *view {
	v := &view{upstreams: &index[place, platform.Upstream]{}, members: &index[string, []platform.Upstream]{}, services: &index[string, *document.Service]{}}
	v.listServices = sync.OnceValue(v.servicesByName)
	return v
}

// differing returns those changes that differ from the view.
func (v *view) differing(changes map[place]*platform.Upstream) map[place]*platform.Upstream {
	maps.DeleteFunc(changes, func(at place, u *platform.Upstream) bool {
		known, ok := v.upstreams.get(at)
		return ok == (u != nil) && (!ok || known == *u)
	})
	return changes
}

// buildView builds the view of the current state from the previous one and the members that changed, by
// place. Only the groups that a change affects are built anew, unless the manifest is another one:
// with a thousand groups, changes of a single member are frequent. The caller holds d.mu.
func (d *Directory) buildView(previous *view, changes map[place]*platform.Upstream) *view {
	v := &view{
		manifestCount: d.manifestCount,
		version:       d.manifest.Version,
		manifestKnown: d.manifestKnown,
		groupCount:    len(d.manifest.Groups),
		upstreams:     previous.upstreams.with(changes),
		databases:     previous.databases,
		workspaces:    d.manifest.Workspaces,
		reportStart:   previous.reportStart,
	}
	v.listServices = sync.OnceValue(v.servicesByName)
	members := previous.changedMembers(changes)
	v.members = previous.members.with(members)
	for _, u := range changes {
		v.reportStart = v.reportStart || u != nil && u.Started != 0
	}
	if previous.manifestCount == v.manifestCount {
		v.services = previous.services.with(d.newServices(v, maps.Keys(members)))
		return v
	}
	v.services = (&index[string, *document.Service]{}).with(d.newServices(v, maps.Keys(d.manifestIndex.groups)))
	v.databases = d.indexDatabases()
	return v
}

// changedMembers returns the members of the groups that changes affect.
func (v *view) changedMembers(changes map[place]*platform.Upstream) map[string]*[]platform.Upstream {
	groups := make(map[string]*[]platform.Upstream)
	listOf := func(group string) *[]platform.Upstream {
		if groups[group] == nil {
			known, _ := v.members.get(group)
			list := slices.Clone(known)
			groups[group] = &list
		}
		return groups[group]
	}
	for at, u := range changes {
		if known, ok := v.upstreams.get(at); ok {
			list := listOf(known.Group)
			*list = slices.DeleteFunc(*list, func(o platform.Upstream) bool { return o.Address == known.Address })
		}
		if u != nil {
			list := listOf(u.Group)
			*list = append(*list, *u)
		}
	}
	for group, list := range groups {
		slices.SortFunc(*list, func(a, b platform.Upstream) int { return cmp.Compare(a.Address, b.Address) })
		if len(*list) == 0 {
			groups[group] = nil
		}
	}
	return groups
}

// newServices returns the services of groups with the members in a view; nil for those that the
// manifest does not name or that have no members.
func (d *Directory) newServices(v *view, groups iter.Seq[string]) map[string]**document.Service {
	services := make(map[string]**document.Service)
	for name := range groups {
		services[name] = nil
		g, ok := d.manifestIndex.groups[name]
		members, _ := v.members.get(name)
		if !ok || len(members) == 0 {
			continue
		}
		s := d.newService(g, members)
		services[name] = &s
	}
	return services
}

// indexDatabases returns the databases of the manifest by name.
func (d *Directory) indexDatabases() map[string]document.Database {
	all := make(map[string]document.Database, len(d.manifest.Databases))
	for _, b := range d.manifest.Databases {
		level := b.Class.Consistency
		all[b.Name] = document.Database{Name: b.Name, Group: b.Group, Class: b.Class.Name, Consistency: &level, Public: b.Public}
	}
	return all
}

// newService returns the service of a group with members.
func (d *Directory) newService(g Group, present []platform.Upstream) *document.Service {
	slots := 0
	var members []document.Member
	for _, u := range present {
		slots += u.Slots
		members = append(members, document.Member{Address: u.Address, FailureDomain: u.FailureDomain})
	}
	s := &document.Service{
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
		ReadClasses: d.manifestIndex.readClasses[g.Name],
	}
	s.IndexReadClasses()
	return s
}

// Services returns the service of each group that has members, ordered by name, and the manifest's
// version. The list must not be modified; it is the same for all calls until the directory changes.
func (d *Directory) Services() ([]*document.Service, int64) {
	v := d.current.Load()
	return v.listServices(), v.version
}

// servicesByName returns the services ordered by name.
func (v *view) servicesByName() []*document.Service {
	all := make([]*document.Service, 0, v.services.size)
	for _, s := range v.services.all() {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *document.Service) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// GroupCount returns the number of groups in the manifest, those without members included.
func (d *Directory) GroupCount() int { return d.current.Load().groupCount }

// FindService returns the service of a group.
func (d *Directory) FindService(group string) (*document.Service, bool) {
	return d.current.Load().services.get(group)
}

// Version returns the version of the manifest in force; zero if there is none.
func (d *Directory) Version() int64 { return d.current.Load().version }

// FindDatabase returns the database with a name.
func (d *Directory) FindDatabase(name string) (document.Database, bool) {
	b, ok := d.current.Load().databases[name]
	return b, ok
}

// Workspaces returns the workspaces in force, or nil if callers need no key.
func (d *Directory) Workspaces() *workspace.Table { return d.current.Load().workspaces }

// MemberID returns the ID of the member expected at an address of a group.
func (d *Directory) MemberID(group, address string) (string, bool) {
	u, ok := d.current.Load().upstreams.get(placeOf(group, address))
	return u.ID, ok
}

// RefuteMember records that the process at an address denied to be the member with an ID, and reports
// whether another member of the group is expected there now.
func (d *Directory) RefuteMember(group, address, id string) bool {
	d.mu.Lock()
	d.members.refute(id, placeOf(group, address), d.config.Clock.Now())
	d.mu.Unlock()
	d.publish()
	expected, ok := d.MemberID(group, address)
	if !ok || expected == id {
		return false
	}
	d.log.Warn("The process at an address is not the member that its latest entry names; another entry is used.", "address", address, "denied", id, "member", expected)
	return true
}

// MembersReportStart reports whether some member's entry has named the time at which the member
// started.
func (d *Directory) MembersReportStart() bool { return d.current.Load().reportStart }

// MemberStarted returns when the member of a group at an address started, in Unix milliseconds; zero if
// its entry does not name it.
func (d *Directory) MemberStarted(group, address string) int64 {
	u, _ := d.current.Load().upstreams.get(placeOf(group, address))
	return u.Started
}

// IsLeaving reports whether the member of a group at an address is leaving and must get no new work.
func (d *Directory) IsLeaving(group, address string) bool {
	u, _ := d.current.Load().upstreams.get(placeOf(group, address))
	return u.Leaving
}

// PrimaryAddress returns the address of the group's member that reports itself as primary, or an
// empty string if none or several do.
func (d *Directory) PrimaryAddress(group string) string {
	primary := ""
	members, _ := d.current.Load().members.get(group)
	for _, u := range members {
		if !u.ClaimsPrimary {
			continue
		}
		if primary != "" {
			return ""
		}
		primary = u.Address
	}
	return primary
}

// Ready reports whether a manifest is in force and at least one group has members.
func (d *Directory) Ready() bool {
	v := d.current.Load()
	return v.manifestKnown && v.services.size > 0
}
