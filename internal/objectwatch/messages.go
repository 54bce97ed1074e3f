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
	Kind platform.Kind `json:"kind"`
	// After is the number of a revision and Era its era.
	After int64 `json:"after,omitempty"`
	Era   int64 `json:"era,omitempty"`
	// DeltaBase is an object version that the requester holds, against which the response may be
	// delta-encoded; nil for none.
	DeltaBase *versionRef `json:"base,omitempty"`
	// WaitForList reports that the requester can wait until the first list is complete.
	WaitForList bool `json:"waits,omitempty"`
	// AnyList reports that a list that the instance received from another one does as well. Instances
	// of earlier builds have nothing for such a request unless they are readers.
	AnyList bool `json:"any_list,omitempty"`
}

// versionRef identifies one version of an object.
type versionRef struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
	Era      int64  `json:"era,omitempty"`
}

// newVersionRef returns the reference to an object's version.
func newVersionRef(o platform.Object) *versionRef {
	return &versionRef{Name: o.Name, Revision: o.Revision.Number(), Era: o.Revision.Era()}
}

func (r versionRef) revision() platform.Revision { return platform.NewRevision(r.Era, r.Revision) }

// response is the content of a feed. Compacted reports that the feed's history does not reach
// back to the requested revision.
type response struct {
	// Encoded holds the encoded objects. Delta reports that they are delta-encoded against the
	// request's DeltaBase.
	Encoded []byte `json:"packed,omitempty"`
	Delta   bool   `json:"on_base,omitempty"`
	// objects holds the decoded objects.
	objects []platform.Object
	// Revision is the number of the revision that the response leads to. Era is the era of that
	// revision and of all objects in the response; an instance that is older than eras names none.
	Revision  int64 `json:"revision"`
	Era       int64 `json:"era,omitempty"`
	Compacted bool  `json:"compacted,omitempty"`
	// AgeMS is the age of the last list that the response is based on, in milliseconds.
	AgeMS int64 `json:"age_ms"`
}

// newRequest returns a request for the changes of a kind after a revision.
func newRequest(kind platform.Kind, after platform.Revision) request {
	return request{Kind: kind, After: after.Number(), Era: after.Era()}
}

// after returns the revision after which changes are requested.
func (r request) after() platform.Revision { return platform.NewRevision(r.Era, r.After) }

// revision returns the revision that the response leads to.
func (r response) revision() platform.Revision { return platform.NewRevision(r.Era, r.Revision) }

// age returns the time since the list on which the response is based was requested.
func (r response) age() time.Duration { return time.Duration(r.AgeMS) * time.Millisecond }

// errInvalidEra reports a message with a number that is no era.
var errInvalidEra = result.New(result.NotReady, "the message names an invalid era of the platform")

// errEarlierEra reports that an instance has not seen the present era of the platform's store.
var errEarlierEra = result.New(result.NotReady, "the other instance follows an earlier era of the platform")

// errFeedUnavailable reports that this instance has no current data for the kind.
var errFeedUnavailable = result.New(result.NotReady, "the platform is not followed here")
