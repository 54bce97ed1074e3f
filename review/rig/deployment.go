package main

import (
	"fmt"
	"strings"
	"time"
)

// Databases of a service: one for each type of route.
const (
	dbPrimary = "loje422x2"
	dbBounded = "puba11wu5"
	dbOwn     = "sqzbzqf4b"
)

// database returns the name of a database of the n-th service, from 0.
func database(name string, n int) string {
	if n == 0 {
		return name
	}
	return fmt.Sprint(name, n)
}

// sheet holds the figures of a deployment's sheet that a run uses.
type sheet struct {
	services    []string
	zones       []string
	machines    []int
	slots       int
	connections int
	promotion   time.Duration
	lag         time.Duration
}

// route is one route of a manifest.
type route struct {
	Name           string
	Host           string
	Type           string
	Service        string
	TimeoutMs      int
	SloMs          int
	MaxStalenessMs int
	Priority       int
}

// deploy writes the first manifest, starts the members of each service, one in each of the first
// three zones, and starts the instances.
func (r *rig) deploy(s sheet) error {
	r.promotion.delay = s.promotion
	r.writeManifest(1, s, routes(s.services))
	for k, service := range s.services {
		g := &group{record: r.record, store: r.store, name: service, slots: s.slots, ownerOf: r.findOwner}
		r.groups = append(r.groups, g)
		for n := range membersPerService {
			id := fmt.Sprintf("i-%08x", 0x7f3a91c2+(k*membersPerService+n)*0x1b3d)
			if _, err := g.addMember(id, s.zones[n], r.address(2+1+k*membersPerService+n, memberPort), s.lag); err != nil {
				return err
			}
		}
	}
	r.promotion.groups = r.groups
	for z, zone := range s.zones {
		for n := range s.machines[z] {
			r.addInstance(fmt.Sprintf("edge-%s-%d", zone, n+1), zone)
		}
	}
	return r.startAll()
}

// membersPerService is the number of members of each service.
const membersPerService = 3

// routes returns the usual routes: three for each service.
func routes(services []string) []route {
	var all []route
	for k, service := range services {
		all = append(all,
			route{Host: database(dbPrimary, k), Type: "primary", Service: service, TimeoutMs: 1000, SloMs: 200, Priority: 1},
			route{Host: database(dbBounded, k), Type: "bounded_staleness", Service: service, TimeoutMs: 3000, SloMs: 800, MaxStalenessMs: 1500, Priority: 2},
			route{Host: database(dbOwn, k), Type: "read_your_writes", Service: service, TimeoutMs: 1000, SloMs: 400, MaxStalenessMs: 2500, Priority: 2})
	}
	for n := range all {
		all[n].Name = fmt.Sprintf("r%d", n+1)
	}
	return all
}

// txIdle is how long a transaction may rest before it may be ended.
const txIdle = 10 * time.Second

// writeManifest writes a manifest with the given routes.
func (r *rig) writeManifest(version int, s sheet, all []route) {
	var services []map[string]any
	for _, name := range s.services {
		services = append(services, map[string]any{"Name": name, "MaxConns": s.connections})
	}
	r.store.write(kindManifest, "main", map[string]any{
		"Version":  version,
		"Routes":   all,
		"Services": services,
		"Limits":   map[string]any{"TxIdleMs": txIdle.Milliseconds()},
	})
	r.add("operator", "manifest %d is acknowledged, routes: %s", version, describe(all))
}

// describe names the service of each route.
func describe(all []route) string {
	var b strings.Builder
	for _, o := range all {
		fmt.Fprintf(&b, "%s to %s, ", o.Host, o.Service)
	}
	return strings.TrimSuffix(b.String(), ", ")
}

// find returns the instance with a name.
func (r *rig) find(name string) *instance {
	for _, i := range r.instances {
		if i.name == name {
			return i
		}
	}
	return nil
}
