package homechoice

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/platform"
)

const (
	// homesPerRound is how many homes are queried in a round, so that seven homes are all
	// queried in three rounds.
	homesPerRound = 3
	// homeAnswerTTL is how long an answer is valid: a home whose own view of the group has
	// changed is queried again within this time.
	homeAnswerTTL = 600 * time.Millisecond
)

// homeAnswer is the answer of a home and the time at which it was queried.
type homeAnswer struct {
	home       platform.Instance
	capability Capability
	queriedAt  time.Time
}

// knownHomes holds a home finder's knowledge of a group's other homes. It decides which homes are
// queried next, whether enough were queried, and which one gets a unit. It sends no queries itself
// and is not safe for concurrent use.
type knownHomes struct {
	random *rand.Rand
	// nextIndex is the position in the list of homes at which the next round starts.
	nextIndex int
	answers   map[string]homeAnswer
	// queriedAt is when each home was last queried, whether it answered or not.
	queriedAt map[string]time.Time
}

func newKnownHomes(r *rand.Rand) *knownHomes {
	return &knownHomes{random: r, answers: make(map[string]homeAnswer), queriedAt: make(map[string]time.Time)}
}

// chooseNext returns the homes to query in the next round, in rotation.
func (k *knownHomes) chooseNext(homes []platform.Instance) []platform.Instance {
	var chosen []platform.Instance
	for range min(homesPerRound, len(homes)) {
		chosen = append(chosen, homes[k.nextIndex%len(homes)])
		k.nextIndex++
	}
	return chosen
}

// recordAnswer stores the answer of a home that was queried at queriedAt.
func (k *knownHomes) recordAnswer(home platform.Instance, reported Capability, queriedAt time.Time) {
	k.queriedAt[home.ID] = queriedAt
	k.answers[home.ID] = homeAnswer{home: home, capability: reported, queriedAt: queriedAt}
}

// recordNoAnswer records that a home queried at queriedAt did not answer; its earlier answer is
// dropped.
func (k *knownHomes) recordNoAnswer(home platform.Instance, queriedAt time.Time) {
	k.queriedAt[home.ID] = queriedAt
	delete(k.answers, home.ID)
}

// forgetAnswer drops the answer of a home that did not serve a unit although it reported that it
// could.
func (k *knownHomes) forgetAnswer(home platform.Instance) { delete(k.answers, home.ID) }

// enoughQueried reports whether all homes, or at least as many as two rounds cover, were queried
// recently.
func (k *knownHomes) enoughQueried(homes []platform.Instance, now time.Time) bool {
	oldest := now.Add(-homeAnswerTTL)
	queried := 0
	for _, home := range homes {
		if !k.queriedAt[home.ID].Before(oldest) {
			queried++
		}
	}
	return queried >= min(len(homes), 2*homesPerRound)
}

// pickHome returns a random one of the homes that are known to be able to serve the unit, so that
// the load is spread over them.
func (k *knownHomes) pickHome(u *execution.Unit, now time.Time) (platform.Instance, bool) {
	oldest := now.Add(-homeAnswerTTL)
	var candidates []homeAnswer
	for _, a := range k.answers {
		if !a.queriedAt.Before(oldest) && a.capability.CanServe(u) {
			candidates = append(candidates, a)
		}
	}
	if len(candidates) == 0 {
		return platform.Instance{}, false
	}
	// Map iteration order varies; sorting makes the choice depend on the random seed only.
	slices.SortFunc(candidates, func(a, b homeAnswer) int { return cmp.Compare(a.home.ID, b.home.ID) })
	return candidates[k.random.IntN(len(candidates))].home, true
}
