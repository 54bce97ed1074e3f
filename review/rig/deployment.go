package main

import (
	"fmt"
	"time"
)

// Databases of the runs: one for each type of route.
const (
	dbPrimary = "loje422x2"
	dbBounded = "puba11wu5"
	dbOwn     = "sqzbzqf4b"
)

// sheet holds the figures of a deployment's sheet that a run uses.
type sheet struct {
	service     string
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

// deploy writes the first manifest, starts the members, one in each of the first three zones, and
// starts the instances.
func (r *rig) deploy(s sheet) error {
	r.group = &group{record: r.record, store: r.store, name: s.service, slots: s.slots}
	r.promotion.group, r.promotion.delay = r.group, s.promotion
	r.writeManifest(1, s, r.routes(s.service))
	for n := range 3 {
		id := fmt.Sprintf("i-%08x", 0x7f3a91c2+n*0x1b3d)
		if _, err := r.group.addMember(id, s.zones[n], r.address(10+n, memberPort), s.lag); err != nil {
			return err
		}
	}
	for z, zone := range s.zones {
		for n := range s.machines[z] {
			r.addInstance(fmt.Sprintf("edge-%s-%d", zone, n+1), zone)
		}
	}
	return r.startAll()
}

func (r *rig) routes(service string) []route {
	return []route{
		{Name: "r1", Host: dbPrimary, Type: "primary", Service: service, TimeoutMs: 1000, SloMs: 200, Priority: 1},
		{Name: "r2", Host: dbBounded, Type: "bounded_staleness", Service: service, TimeoutMs: 3000, SloMs: 800, MaxStalenessMs: 1500, Priority: 2},
		{Name: "r3", Host: dbOwn, Type: "read_your_writes", Service: service, TimeoutMs: 1000, SloMs: 400, MaxStalenessMs: 2500, Priority: 2},
	}
}

// txIdle is how long a transaction may rest before it may be ended.
const txIdle = 10 * time.Second

func (r *rig) writeManifest(version int, s sheet, routes []route) {
	r.store.write(kindManifest, "main", map[string]any{
		"Version":  version,
		"Routes":   routes,
		"Services": []map[string]any{{"Name": s.service, "MaxConns": s.connections}},
		"Limits":   map[string]any{"TxIdleMs": txIdle.Milliseconds()},
	})
	r.add("operator", "manifest %d is acknowledged", version)
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
