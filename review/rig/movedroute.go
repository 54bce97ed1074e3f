package main

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

const (
	// deafLag is how far behind a replica is that receives nothing for a while. It is within the
	// age that reads of the route accept.
	deafLag = time.Second
	// manifestGap is the time between two versions of the manifest that come in quick succession.
	manifestGap = 100 * time.Millisecond
	// routeTime bounds the wait until a changed route is in force at an instance.
	routeTime = 3 * time.Second
)

var errRoute = errors.New("the changed route was not in force in time")

// movedRoute moves a route to another service and back while a session goes on using it, with a
// replica that is behind.
func movedRoute(r *rig) (bool, error) {
	s := ligasul
	s.services = s.services[:2]
	if err := r.deploy(s); err != nil {
		return false, err
	}
	usual := r.startTraffic()
	defer usual.end()
	time.Sleep(4 * time.Second)
	g, other := r.groups[0], r.groups[1]
	behind := g.members[2]
	if r.trouble {
		g.mu.Lock()
		behind.lag = deafLag
		g.mu.Unlock()
		r.add("member "+behind.id, "receives the log %v late from now on", deafLag)
		time.Sleep(2 * deafLag)
	}
	entry := r.find("edge-" + behind.zone + "-1")
	session, err := connect(r.record, "requester-1", entry.front(), dbOwn)
	if err != nil {
		return false, err
	}
	write, a, err := session.query("WRITE item1 new")
	if err != nil || a.isErr {
		return false, errors.Join(errSetup, err)
	}
	if r.trouble {
		if err := r.moveRoute(s, 4, entry, other); err != nil {
			return false, err
		}
	}
	_, _, _ = session.query("READ item1")
	if r.trouble {
		if err := r.moveRoute(s, 9, entry, g); err != nil {
			return false, err
		}
	}
	read, a, err := session.query("READ item1")
	if err != nil || a.isErr {
		return false, errors.Join(errSetup, err)
	}
	return r.judgeOwnWrite(g, write, read, a), nil
}

// moveRoute removes the route with one version of the manifest, adds it for another service with the
// next one, and waits until that is in force at an instance.
func (r *rig) moveRoute(s sheet, version int, i *instance, to *group) error {
	var without, with []route
	for _, o := range routes(s.services) {
		if o.Host == dbOwn {
			o.Service = to.name
			with = append(with, o)
			continue
		}
		without, with = append(without, o), append(with, o)
	}
	r.writeManifest(version, s, without)
	time.Sleep(manifestGap)
	r.writeManifest(version+3, s, with)
	return r.awaitRoute(i, to)
}

// awaitRoute waits until new sessions at an instance are served by a group.
func (r *rig) awaitRoute(i *instance, g *group) error {
	for end := time.Now().Add(routeTime); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		probe, err := connect(r.record, "requester-2", i.front(), dbOwn)
		if err != nil {
			continue
		}
		id, _, err := probe.query("READ item2")
		probe.close()
		if _, ran := g.run(id); err == nil && ran {
			return nil
		}
	}
	return errRoute
}

// judgeOwnWrite checks STALE: the read ran on a log that holds the commit of its session.
func (r *rig) judgeOwnWrite(g *group, write, read string, a reply) bool {
	commit, ok := g.committed(write)
	run, ran := g.run(read)
	if !ok || !ran || run.held >= commit.number {
		return false
	}
	r.note("STALE: the read %s ran at %s on a log that ends at %d; commit %v of the same session, by %s, was acknowledged before; the rows are %q",
		read, run.member, run.held, commit, write, strings.Join(a.rows, fmt.Sprintln()))
	return true
}
