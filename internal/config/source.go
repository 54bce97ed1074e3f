package config

// Source tells where a version came from; it is a metric label.
type Source string

// Sources of versions.
const (
	FromPlatform Source = "platform"
	FromPush     Source = "push"
	FromDigest   Source = "digest"
	FromApply    Source = "apply"
)

// Arrival tells what became of a version that arrived; it is a metric label.
type AdoptResult string

// Arrivals.
const (
	// Adopted: the version is in force now.
	Adopted AdoptResult = "adopted"
	// Known: the version was in force already.
	Known AdoptResult = "known"
	// Lower: a higher version is in force.
	Lower AdoptResult = "lower"
	// Diverged: another change with the same version is in force.
	Diverged AdoptResult = "diverged"
	// Invalid: the document did not pass its checks.
	Invalid AdoptResult = "invalid"
)
