package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/topazrock/topazrock/internal/standin/linecaller"
)

var (
	soakSeeds    = flag.Int("soak.seeds", 1, "number of runs")
	soakSeed     = flag.Uint64("soak.seed", 1, "seed of the first run")
	soakDuration = flag.Duration("soak.duration", 20*time.Second, "duration of the load of a run")
	soakFault    = flag.String("soak.fault", "", "only faults whose names begin so")
	soakLogs     = flag.String("soak.logs", "", "directory for programs, settings and logs; kept")
)

const (
	probersPerInstance = 3
	probePause         = 40 * time.Millisecond
	probeTimeout       = 4 * time.Second
	// maxAdded is how many databases are added before the oldest one is removed.
	maxAdded = 4
)

// Runs real instances against a store and members, changes the manifest in series, disturbs instances, the
// store and what is between them, and judges from outside which version each request was decided by.
// Guards against changes that are not in force in time, that go back, and added databases that are refused.
func TestManifestChangesOfRealProcesses(t *testing.T) {
	dir := buildPrograms(t)
	for n := range *soakSeeds {
		seed := *soakSeed + uint64(n)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { runSoak(t, dir, seed) })
	}
}

// buildPrograms builds the programs and returns the directory that has them and the logs.
func buildPrograms(t *testing.T) string {
	dir := *soakLogs
	if dir == "" {
		dir = t.TempDir()
	}
	builder := &testDeployment{t: t, dir: dir}
	builder.mustRun("go", "build", "-o", dir+"/", ".", "../topazrock-standin")
	return dir
}

func runSoak(t *testing.T, dir string, seed uint64) {
	f := startFleet(t, dir)
	s := &soak{fleet: f, random: rand.New(rand.NewPCG(seed, 1)), end: time.Now().Add(*soakDuration)}
	s.databases.Store(&[]string{"own", "moving", "never"})
	var running sync.WaitGroup
	for _, i := range f.instances {
		for p := range probersPerInstance {
			running.Go(func() { s.probe(i, rand.New(rand.NewPCG(seed, uint64(100*i.number+p)))) })
		}
	}
	running.Go(func() { s.disturb(rand.New(rand.NewPCG(seed, 2))) })
	s.changeManifest()
	running.Wait()
	broken := f.judge.verdicts()
	t.Logf("seed %d: %d versions, %d observations with evidence, %d broken", seed, len(f.judge.versions), s.evidence.Load(), len(broken))
	for _, line := range broken[:min(10, len(broken))] {
		t.Error(line)
	}
	if len(broken) > 0 {
		t.Logf("faults: %s", strings.Join(s.faults, "; "))
	}
	if s.evidence.Load() == 0 {
		t.Error("no observation shows anything")
	}
}

// soak is one run.
type soak struct {
	*fleet
	random *rand.Rand
	end    time.Time
	// databases are those that callers ask for: present ones, recently removed ones, and one that never was.
	databases atomic.Pointer[[]string]
	evidence  atomic.Int64
	requests  atomic.Int64
	faults    []string
}

func (s *soak) running() bool { return time.Now().Before(s.end) }

// changeManifest writes versions that add, remove and move databases until the run ends.
func (s *soak) changeManifest() {
	groups := map[string]string{"own": "base-a", "moving": "base-a"}
	var added, removed []string
	for number := int64(3); s.running(); number += 1 + s.random.Int64N(4) {
		time.Sleep(time.Duration(200+s.random.IntN(1800)) * time.Millisecond)
		switch s.random.IntN(3) {
		case 0:
			groups["moving"] = fleetGroups[s.random.IntN(2)]
		case 1:
			name := fmt.Sprintf("added-%d", number)
			groups[name] = fleetGroups[s.random.IntN(2)]
			added = append(added, name)
		default:
			groups["own"] = fleetGroups[s.random.IntN(2)]
		}
		if len(added) > maxAdded {
			delete(groups, added[0])
			removed = append(removed, added[0])
			added = added[1:]
		}
		names := slices.Concat([]string{"own", "moving", "never"}, added, removed[max(0, len(removed)-2):])
		s.databases.Store(&names)
		s.writeManifest(number, groups)
	}
}

// probe sends requests to one instance, in new sessions and in old ones.
func (s *soak) probe(i *fleetInstance, random *rand.Rand) {
	sessions := make(map[string]*linecaller.Session)
	for s.running() {
		time.Sleep(probePause)
		names := *s.databases.Load()
		name := names[random.IntN(len(names))]
		o := observation{instance: i.number, life: i.currentLife(), database: name, sent: time.Now()}
		session := sessions[name]
		if session.Broken() || random.IntN(3) == 0 {
			session.Close()
			session = linecaller.Open(i.callers, name, probeTimeout)
			sessions[name] = session
			if session.Started().Code != "" {
				s.record(i, o, "", session.Started())
				continue
			}
			o.sent = time.Now()
		}
		id := fmt.Sprintf("q%d", s.requests.Add(1))
		s.record(i, o, id, session.Run(id, "READ x"))
	}
	for _, session := range sessions {
		session.Close()
	}
}

// record notes what an answer shows of the manifest. Answers of a process that has ended meanwhile, and
// those that fit every manifest, show nothing.
func (s *soak) record(i *fleetInstance, o observation, request string, a linecaller.Answer) {
	o.received = time.Now()
	o.text = a.Code + " " + a.Text
	switch {
	case !a.Complete || o.life != i.currentLife():
		return
	case a.Code == "":
		o.group = s.groupOf(request, a.MAC)
		o.outcome = servedByGroup
	case a.Code == "NODB", strings.Contains(a.Text, "unknown class"):
		o.outcome = refusedAsUnknown
	default:
		return
	}
	s.evidence.Add(1)
	s.judge.mu.Lock()
	defer s.judge.mu.Unlock()
	s.judge.observations = append(s.judge.observations, o)
}

// soakFaultKinds are the faults of a run. Each returns when it has ended.
var soakFaultKinds = []struct {
	name  string
	apply func(s *soak, i *fleetInstance, d time.Duration)
}{
	{"silent connections of all", func(s *soak, _ *fleetInstance, _ time.Duration) { s.silenceAll() }},
	{"silent connections", func(_ *soak, i *fleetInstance, _ time.Duration) { i.link.silence() }},
	{"held answers", func(_ *soak, i *fleetInstance, d time.Duration) { i.link.during(linkFault{holdDown: true}, d) }},
	{"held link", func(_ *soak, i *fleetInstance, d time.Duration) {
		i.link.during(linkFault{holdDown: true, holdUp: true}, d)
	}},
	{"slow link", func(_ *soak, i *fleetInstance, d time.Duration) { i.link.during(linkFault{delay: d / 6}, d) }},
	{"cut answer", func(_ *soak, i *fleetInstance, d time.Duration) { i.link.during(linkFault{cutAnswer: true}, d) }},
	{"refused link", func(_ *soak, i *fleetInstance, d time.Duration) {
		i.link.reset()
		i.link.during(linkFault{refuse: true}, d)
	}},
	{"frozen instance", func(_ *soak, i *fleetInstance, d time.Duration) {
		i.signal(syscall.SIGSTOP)
		time.Sleep(d)
		i.signal(syscall.SIGCONT)
	}},
	{"killed instance", func(s *soak, i *fleetInstance, d time.Duration) {
		i.exclusive.Lock()
		defer i.exclusive.Unlock()
		s.killInstance(i)
		time.Sleep(d / 4)
		s.startInstance(i)
	}},
	{"stopped instance", func(s *soak, i *fleetInstance, _ time.Duration) {
		i.exclusive.Lock()
		defer i.exclusive.Unlock()
		i.signal(syscall.SIGTERM)
		i.signal(syscall.SIGHUP)
		<-i.processFinished
		s.startInstance(i)
	}},
	{"reloaded instance", func(_ *soak, i *fleetInstance, _ time.Duration) { i.signal(syscall.SIGHUP) }},
	{"frozen store", func(s *soak, _ *fleetInstance, d time.Duration) {
		_ = s.storeProc.Process.Signal(syscall.SIGSTOP)
		time.Sleep(d)
		_ = s.storeProc.Process.Signal(syscall.SIGCONT)
	}},
}

// during applies a fault for some time.
func (s *storeLink) during(f linkFault, d time.Duration) {
	s.setFault(f)
	time.Sleep(d)
	s.setFault(linkFault{})
}

func (s *soak) silenceAll() {
	for _, i := range s.instances {
		i.link.silence()
	}
}

// disturb applies faults one after the other, some of them overlapping, until the run ends.
func (s *soak) disturb(random *rand.Rand) {
	var applied sync.WaitGroup
	start := time.Now()
	for s.running() {
		time.Sleep(time.Duration(500+random.IntN(4500)) * time.Millisecond)
		kind := soakFaultKinds[random.IntN(len(soakFaultKinds))]
		i := s.instances[random.IntN(len(s.instances))]
		duration := time.Duration(300+random.IntN(4000)) * time.Millisecond
		if !strings.HasPrefix(kind.name, *soakFault) {
			continue
		}
		s.faults = append(s.faults, fmt.Sprintf("%s %s of %d for %s", time.Since(start).Round(time.Millisecond), kind.name, i.number, duration))
		concerned := i.number
		if strings.HasSuffix(kind.name, "of all") || strings.HasSuffix(kind.name, "store") {
			concerned = -1
		}
		end := s.judge.disturb(concerned)
		done := make(chan struct{})
		applied.Go(func() {
			defer close(done)
			kind.apply(s, i, duration)
			end()
		})
		if random.IntN(3) > 0 {
			<-done
		}
	}
	applied.Wait()
}
