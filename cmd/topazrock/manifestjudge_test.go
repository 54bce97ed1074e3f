package main

import (
	"fmt"
	"sync"
	"time"
)

// Bounds of the promise that operators are given for a changed manifest.
const (
	// applyBound is how long after its acknowledgement a version may be unknown.
	applyBound = 3 * time.Second
	// revertSlack is how long after the effect of a version was seen at an instance an older one may
	// still decide there; slowRevertSlack is the same at an instance that is disturbed.
	revertSlack     = 250 * time.Millisecond
	slowRevertSlack = 8 * revertSlack
	// stability is how long an instance or the store must have been undisturbed for bounds to hold.
	stability = 4 * time.Second
)

// outcome is what a request showed of the manifest that decided it.
type outcome int

const (
	// noEvidence means that the answer fits every manifest.
	noEvidence outcome = iota
	servedByGroup
	refusedAsUnknown
)

// observation is one request at one instance, and what its answer showed.
type observation struct {
	instance, life int
	database       string
	sent, received time.Time
	outcome        outcome
	// group is the group whose member ran the request.
	group string
	text  string
}

// manifestVersion is one version of the manifest: the group of each database.
type manifestVersion struct {
	number      int64
	groups      map[string]string
	sent, acked time.Time
}

// allows reports whether the version explains an observation.
func (v *manifestVersion) allows(o observation) bool {
	group, known := v.groups[o.database]
	switch o.outcome {
	case servedByGroup:
		return known && group == o.group
	case refusedAsUnknown:
		return !known
	default:
		return true
	}
}

// disturbance is a time in which an instance, or the store for all of them, was disturbed.
type disturbance struct {
	// instance is -1 for the store.
	instance int
	from, to time.Time
}

// judge compares observations with the versions that were written. It knows nothing of the instances
// but what their callers saw.
type judge struct {
	mu           sync.Mutex
	versions     []*manifestVersion
	disturbances []*disturbance
	observations []observation
}

// disturb records a disturbance that lasts until the returned function is called.
func (j *judge) disturb(instance int) (end func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	d := &disturbance{instance: instance, from: time.Now()}
	j.disturbances = append(j.disturbances, d)
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		d.to = time.Now()
	}
}

// undisturbed reports whether neither the instance nor the store was disturbed for the time of
// stability before a moment.
func (j *judge) undisturbed(instance int, at time.Time) bool {
	for _, d := range j.disturbances {
		concerned := d.instance < 0 || d.instance == instance
		if concerned && d.from.Before(at) && (d.to.IsZero() || d.to.After(at.Add(-stability))) {
			return false
		}
	}
	return true
}

// floorChange is the moment from which an instance has shown the effect of a version.
type floorChange struct {
	at      time.Time
	version int
}

// verdicts returns a line for each observation that breaks the promise. The observations of one life of
// an instance must be in the order in which they were received.
func (j *judge) verdicts() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	var broken []string
	floors := make(map[[2]int][]floorChange)
	for _, o := range j.observations {
		if o.outcome == noEvidence {
			continue
		}
		life := [2]int{o.instance, o.life}
		shown := j.shownBefore(floors[life], o)
		first := j.firstAllowing(o, shown)
		switch {
		case first < 0:
			broken = append(broken, j.describe("went back behind", shown, o))
		case j.firstAllowing(o, j.due(o)) < 0:
			broken = append(broken, j.describe("had not in force", j.due(o), o))
		default:
			floors[life] = append(floors[life], floorChange{o.received, first})
		}
	}
	return broken
}

// shownBefore returns the latest version whose effect was seen early enough before an observation.
func (j *judge) shownBefore(changes []floorChange, o observation) int {
	slack := revertSlack
	if !j.undisturbed(o.instance, o.sent) {
		slack = slowRevertSlack
	}
	latest := 0
	for _, c := range changes {
		if c.at.Add(slack).Before(o.sent) {
			latest = max(latest, c.version)
		}
	}
	return latest
}

// due returns the latest version that had to be in force for an observation.
func (j *judge) due(o observation) int {
	latest := 0
	if !j.undisturbed(o.instance, o.sent) || !j.undisturbed(o.instance, o.received) {
		return latest
	}
	for i, v := range j.versions {
		if !v.acked.IsZero() && v.acked.Add(applyBound).Before(o.sent) {
			latest = i
		}
	}
	return latest
}

// firstAllowing returns the first version from one on that explains an observation; -1 if none does.
func (j *judge) firstAllowing(o observation, from int) int {
	for i := from; i < len(j.versions); i++ {
		if j.versions[i].sent.Before(o.received) && j.versions[i].allows(o) {
			return i
		}
	}
	return -1
}

func (j *judge) describe(what string, version int, o observation) string {
	v := j.versions[version]
	return fmt.Sprintf("instance %d (life %d) %s version %d: %s sent %s, %s after its acknowledgement: group %q, answer %q",
		o.instance, o.life, what, v.number, o.database, o.sent.Format("05.000"), o.sent.Sub(v.acked).Round(time.Millisecond), o.group, o.text)
}
