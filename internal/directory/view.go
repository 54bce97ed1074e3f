package directory

import (
	"slices"
	"time"

	"github.com/topazrock/topazrock/internal/document"
	"github.com/topazrock/topazrock/internal/platform"
	"github.com/topazrock/topazrock/internal/workspace"
)

// Limits that the manifest leaves to the product.
const (
	// confirmTimeout bounds the wait for a replica's confirmation: several times a
	// usual lag, and well within a caller's time.
	confirmTimeout = time.Second
	// answerBuffer holds a whole answer; the line protocol bounds it to a megabyte.
	answerBuffer = 2 << 20
	// maxQueue bounds each class's queue on one instance.
	maxQueue = 1000
	// requestTimeout bounds what no class states a time for.
	requestTimeout = 5 * time.Second
)

// view is the directory at one moment. It is never changed after it was published.
type view struct {
	// manifest counts the manifests that were in force, this one included, and present are
	// the members' entries in the order of their addresses; the rest follows from both.
	manifest int
	present  []platform.Upstream

	version   int64
	known     bool
	services  map[string]*document.Service
	databases map[string]document.Database
	// workspaces is shared by the views of one manifest.
	workspaces *workspace.Table
	upstreams  map[string]platform.Upstream
	// leaving holds the addresses of members that leave.
	leaving map[string]bool
}

func emptyView() *view { return &view{} }

// build makes the view of the present state behind an earlier one. A group whose entries are the
// same keeps its service: a member of one group of hundreds changes often. It runs under the lock.
func (d *Directory) build(old *view, present []platform.Upstream) *view {
	v := &view{
		manifest:   d.manifests,
		present:    present,
		version:    d.manifest.Version,
		known:      d.known,
		services:   make(map[string]*document.Service, len(d.manifest.Groups)),
		databases:  old.databases,
		workspaces: d.manifest.Workspaces,
		upstreams:  make(map[string]platform.Upstream, len(present)),
		leaving:    make(map[string]bool, len(present)),
	}
	for _, u := range present {
		v.upstreams[u.Address] = u
		v.leaving[u.Address] = u.Leaving
	}
	before, now := byGroup(old.present), byGroup(present)
	kept := old.manifest == v.manifest
	made := make(map[string]*document.Service)
	for _, g := range d.manifest.Groups {
		s := old.services[g.Name]
		if !kept || !slices.Equal(before[g.Name], now[g.Name]) {
			s = d.service(g, now[g.Name])
			made[g.Name] = s
		}
		if s != nil {
			v.services[g.Name] = s
		}
	}
	d.addClasses(made)
	if !kept {
		v.databases = d.databases()
	}
	return v
}

// byGroup parts entries by their groups.
func byGroup(entries []platform.Upstream) map[string][]platform.Upstream {
	groups := make(map[string][]platform.Upstream)
	for _, u := range entries {
		groups[u.Group] = append(groups[u.Group], u)
	}
	return groups
}

// addClasses adds the classes of the databases to new services.
func (d *Directory) addClasses(made map[string]*document.Service) {
	for _, b := range d.manifest.Databases {
		if s := made[b.Group]; s != nil {
			s.Reads = append(s.Reads, b.Class)
		}
	}
	for _, s := range made {
		if s != nil {
			s.Index()
		}
	}
}

// databases returns the databases of the manifest by name.
func (d *Directory) databases() map[string]document.Database {
	all := make(map[string]document.Database, len(d.manifest.Databases))
	for _, b := range d.manifest.Databases {
		all[b.Name] = document.Database{Name: b.Name, Group: b.Group, Class: b.Class.Name, Public: b.Public}
	}
	return all
}

// service makes the service of a group; nil if it has no members.
func (d *Directory) service(g Group, present []platform.Upstream) *document.Service {
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
			// A majority must not shrink because entries lapse: two instances that see
			// different remainders of a group would each fence a majority of their own.
			Size: document.MinMembers,
		}},
		Limits: document.Limits{
			StatementTimeout:       requestTimeout,
			RequestTimeout:         requestTimeout,
			ConfirmTimeout:         confirmTimeout,
			TransactionIdleTimeout: d.manifest.TransactionIdle,
			AnswerBuffer:           answerBuffer,
			MaxQueue:               maxQueue,
		},
	}
}

// Services returns the service of each group with the manifest's version.
func (d *Directory) Services() ([]*document.Service, int64) {
	v := d.current.Load()
	var all []*document.Service
	for _, s := range v.services {
		all = append(all, s)
	}
	return all, v.version
}

// FindService returns the service that names the group.
func (d *Directory) FindService(group string) (*document.Service, bool) {
	s, ok := d.current.Load().services[group]
	return s, ok
}

// FindDatabase returns the database of a name.
func (d *Directory) FindDatabase(name string) (document.Database, bool) {
	b, ok := d.current.Load().databases[name]
	return b, ok
}

// Workspaces returns the workspaces in force; nil where callers need no key.
func (d *Directory) Workspaces() *workspace.Table { return d.current.Load().workspaces }

// FindMember returns who is expected at an address of a group.
func (d *Directory) FindMember(group, address string) (string, bool) {
	u, ok := d.current.Load().upstreams[address]
	if !ok || u.Group != group {
		return "", false
	}
	return u.ID, true
}

// Leaving reports whether a member is to get no new work.
func (d *Directory) Leaving(address string) bool { return d.current.Load().leaving[address] }

// Leader returns the address of the member of a group that takes itself for the
// primary; empty if none or several do.
func (d *Directory) Leader(group string) string {
	leader := ""
	for address, u := range d.current.Load().upstreams {
		if u.Group != group || !u.Leads {
			continue
		}
		if leader != "" {
			return ""
		}
		leader = address
	}
	return leader
}

// Ready reports whether the manifest is known and every group has members.
func (d *Directory) Ready() bool {
	v := d.current.Load()
	return v.known && len(v.services) > 0
}
