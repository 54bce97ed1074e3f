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
	// VersionAdopted means that the version is now current.
	VersionAdopted AdoptResult = "adopted"
	// VersionKnown means that the version was already current.
	VersionKnown AdoptResult = "known"
	// VersionLower means that the current version is higher.
	VersionLower AdoptResult = "lower"
	// VersionDiverged means that the current version has the same number but
	// comes from another change.
	VersionDiverged AdoptResult = "diverged"
	// VersionInvalid means that the document failed validation.
	VersionInvalid AdoptResult = "invalid"
)
