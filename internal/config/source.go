package config

// Source is where a version came from. It is a metric label value.
type Source string

// Sources of document versions.
const (
	FromPlatform Source = "platform"
	FromPush     Source = "push"
	FromDigest   Source = "digest"
	FromApply    Source = "apply"
)

// AdoptResult is the result of adopting a version. It is a metric label value.
type AdoptResult string

// Results of adopting a version.
const (
	// Adopted means that the version is now current.
	Adopted AdoptResult = "adopted"
	// Known means that the version was already current.
	Known AdoptResult = "known"
	// Lower means that the current version is higher.
	Lower AdoptResult = "lower"
	// Diverged means that the current version has the same number but comes
	// from another change.
	Diverged AdoptResult = "diverged"
	// Invalid means that the document failed validation.
	Invalid AdoptResult = "invalid"
)
