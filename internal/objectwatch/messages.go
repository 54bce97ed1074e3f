package objectwatch

import (
	"time"

	"github.com/topazrock/topazrock/internal/platform"
	"github.com/topazrock/topazrock/internal/result"
)

const (
	// methodList requests all objects of a kind from an instance's feed. methodAfter is a long
	// poll for the changes after a revision. methodSince returns the changes after a revision
	// without waiting, and the age of the list that proves them complete.
	methodList  = "objectwatch.list"
	methodAfter = "objectwatch.after"
	methodSince = "objectwatch.since"
)

// request asks for the objects of a kind, or for their changes after a revision.
type request struct {
	Kind  platform.Kind `json:"kind"`
	After int64         `json:"after,omitempty"`
	// DeltaBase is an object version that the requester holds, against which the response may be
	// delta-encoded; nil for none.
	DeltaBase *versionRef `json:"base,omitempty"`
	// WaitForList reports that the requester can wait until the first list is complete.
	WaitForList bool `json:"waits,omitempty"`
}

// versionRef identifies one version of an object.
type versionRef struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
}

// response is the content of a feed. Compacted reports that the feed's history does not reach
// back to the requested revision.
type response struct {
	// Encoded holds the encoded objects. Delta reports that they are delta-encoded against the
	// request's DeltaBase.
	Encoded []byte `json:"packed,omitempty"`
	Delta   bool   `json:"on_base,omitempty"`
	// objects holds the decoded objects.
	objects   []platform.Object
	Revision  int64 `json:"revision"`
	Compacted bool  `json:"compacted,omitempty"`
	// AgeMS is the age of the last list that the response is based on, in milliseconds.
	AgeMS int64 `json:"age_ms"`
}

// age returns the time since the list on which the response is based was requested.
func (r response) age() time.Duration { return time.Duration(r.AgeMS) * time.Millisecond }

// errFeedUnavailable reports that this instance has no current data for the kind.
var errFeedUnavailable = result.New(result.NotReady, "the platform is not followed here")
