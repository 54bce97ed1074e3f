package objectwatch

import (
	"maps"
	"slices"
	"time"

	"github.com/topazrock/topazrock/internal/platform"
)

// snapshot holds all known objects of a kind at one point in time.
type snapshot struct {
	objects  []platform.Object
	revision platform.Revision
	// asOf is when the list that the objects are based on was requested from the platform.
	asOf time.Time
	// valid is false if no list is known, or if the instance cannot reach the platform that it
	// follows.
	valid bool
}

// newSnapshot returns a valid snapshot of the objects in a map.
func newSnapshot(objects map[string]platform.Object, revision platform.Revision, asOf time.Time) snapshot {
	return snapshot{objects: slices.Collect(maps.Values(objects)), revision: revision, asOf: asOf, valid: true}
}
