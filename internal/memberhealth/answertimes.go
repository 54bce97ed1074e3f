package memberhealth

import "time"

const (
	// answerTimeDivisor is the inverse of the weight of a new answer in the average.
	answerTimeDivisor = 8
	// silenceFactor is the silence of a member, as a multiple of the recent answer time of the
	// class, after which a statement counts as silent. Statements of one class differ by a factor
	// of two or three, and one that waits behind another takes twice its time.
	silenceFactor = 6
	// minSilence is the least silence that counts. It exceeds the queue of a member whose
	// connections are all in use by usual statements, and a short pause of this process.
	minSilence = 250 * time.Millisecond
	// unknownClassSilence applies to classes without answers so far.
	unknownClassSilence = time.Second
	// ejectedSilenceFactor and minEjectedSilence are the same for a statement at a member that is
	// ejected for silence: the doubt is smaller.
	ejectedSilenceFactor = 3
	minEjectedSilence    = 100 * time.Millisecond
)

// answerTimes holds the recent answer time of each class over all members of the group. Load that
// all members share raises it, so that nobody counts as silent for that.
type answerTimes map[string]time.Duration

// record adds the time of an answer.
func (a answerTimes) record(class string, took time.Duration) {
	average, known := a[class]
	if !known {
		a[class] = took
		return
	}
	a[class] = average + (took-average)/answerTimeDivisor
}

// silence returns the silence after which a statement of the class counts as silent.
func (a answerTimes) silence(class string) time.Duration {
	average, known := a[class]
	if !known {
		return unknownClassSilence
	}
	return max(silenceFactor*average, minSilence)
}

// ejectedSilence returns the silence after which a statement at an ejected member is not waited for.
func (a answerTimes) ejectedSilence(class string) time.Duration {
	average, known := a[class]
	if !known {
		return unknownClassSilence
	}
	return max(ejectedSilenceFactor*average, minEjectedSilence)
}
