package objectwatch

import (
	"time"

	"github.com/topazrock/topazrock/internal/platform"
	"github.com/topazrock/topazrock/internal/result"
)

const (
	// methodList and methodAfter ask an instance for what its feed of a kind holds, and
	// for what came after a revision once there is something; methodSince for what came
	// after a revision until now, and how lately the platform showed that this is all.
	methodList  = "objectwatch.list"
	methodAfter = "objectwatch.after"
	methodSince = "objectwatch.since"
)

// question asks for a kind, from a revision on.
type question struct {
	Kind  platform.Kind `json:"kind"`
	After int64         `json:"after,omitempty"`
	// Base is the version of an object that whoever asks holds, and against which its next
	// one may be packed; nil for none.
	Base *baseRef `json:"base,omitempty"`
	// Waits says that whoever asks has time until the objects are learned.
	Waits bool `json:"waits,omitempty"`
}

// baseRef names one version of an object.
type baseRef struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
}

// answer is what a feed holds. Compacted says that it does not reach back so far.
type answer struct {
	// Packed holds the objects. OnBase says that it was packed against the question's base.
	Packed []byte `json:"packed,omitempty"`
	OnBase bool   `json:"on_base,omitempty"`
	// objects are what Packed holds, once it was unpacked.
	objects   []platform.Object
	Revision  int64 `json:"revision"`
	Compacted bool  `json:"compacted,omitempty"`
	// AgeMS is how long ago the platform showed that this is all, in milliseconds.
	AgeMS int64 `json:"age_ms"`
}

// age is how long ago the platform showed that the answer is all there is.
func (a answer) age() time.Duration { return time.Duration(a.AgeMS) * time.Millisecond }

// errNoFeed says that this instance cannot tell.
var errNoFeed = result.New(result.NotReady, "the platform is not followed here")
