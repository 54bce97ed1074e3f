package objectwatch

import (
	"maps"
	"slices"
	"time"

	"github.com/topazrock/topazrock/internal/platform"
)

// knownList is all that is known of a kind at one moment.
type knownList struct {
	objects  []platform.Object
	revision int64
	// provenAt is when the platform showed that this was all.
	provenAt time.Time
	// known is false while nothing is known, or the platform does not answer whoever asks it.
	known bool
}

// newKnownList returns a list of the objects of a table.
func newKnownList(objects map[string]platform.Object, revision int64, provenAt time.Time) knownList {
	return knownList{objects: slices.Collect(maps.Values(objects)), revision: revision, provenAt: provenAt, known: true}
}
