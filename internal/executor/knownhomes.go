package executor

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/platform"
)

const (
	// homeFinderWidth is how many homes are asked in a round. Seven homes so are all asked
	// in three rounds.
	homeFinderWidth = 3
	// scoutMemory is how long an answer counts: a home whose own view of the group
	// changed since is asked again within it.
	scoutMemory = 600 * time.Millisecond
)

// answer is what a home told, and when it was asked.
type answer struct {
	home     platform.Instance
	standing standing
	at       time.Time
}

// knownHomes is what a home finder knows of a group's other homes. It decides who is asked
// next, whether enough were asked, and to whom a unit goes. It asks nobody itself, and is
// not safe for concurrent use.
type knownHomes struct {
	random *rand.Rand
	// next is where the next round goes on in the list of homes.
	next    int
	answers map[string]answer
	// askedAt is when each home was asked last, whether it answered or not.
	askedAt map[string]time.Time
}

func newKnownHomes(r *rand.Rand) *knownHomes {
	return &knownHomes{random: r, answers: make(map[string]answer), askedAt: make(map[string]time.Time)}
}

// choose returns the homes that the next round asks, in turn.
func (k *knownHomes) choose(homes []platform.Instance) []platform.Instance {
	var chosen []platform.Instance
	for range min(homeFinderWidth, len(homes)) {
		chosen = append(chosen, homes[k.next%len(homes)])
		k.next++
	}
	return chosen
}

// answered keeps what a home told that was asked at a time.
func (k *knownHomes) answered(home platform.Instance, told standing, at time.Time) {
	k.askedAt[home.ID] = at
	k.answers[home.ID] = answer{home: home, standing: told, at: at}
}

// silent notes that a home that was asked at a time has not answered: it is not known to
// serve.
func (k *knownHomes) silent(home platform.Instance, at time.Time) {
	k.askedAt[home.ID] = at
	delete(k.answers, home.ID)
}

// failed forgets what a home told: it did not serve what it said it could.
func (k *knownHomes) failed(home platform.Instance) { delete(k.answers, home.ID) }

// enoughAsked reports whether as many homes were asked of late as two rounds ask.
func (k *knownHomes) enoughAsked(homes []platform.Instance, now time.Time) bool {
	oldest := now.Add(-scoutMemory)
	asked := 0
	for _, home := range homes {
		if !k.askedAt[home.ID].Before(oldest) {
			asked++
		}
	}
	return asked >= min(len(homes), 2*homeFinderWidth)
}

// pick returns one of the homes that are known to serve the unit. Chance decides
// between them, so that their callers share the load.
func (k *knownHomes) pick(u *execution.Unit, now time.Time) (platform.Instance, bool) {
	oldest := now.Add(-scoutMemory)
	var able []answer
	for _, a := range k.answers {
		if !a.at.Before(oldest) && a.standing.serves(u) {
			able = append(able, a)
		}
	}
	if len(able) == 0 {
		return platform.Instance{}, false
	}
	// The map's order is another one each time, and chance must depend on the seed alone.
	slices.SortFunc(able, func(a, b answer) int { return cmp.Compare(a.home.ID, b.home.ID) })
	return able[k.random.IntN(len(able))].home, true
}
