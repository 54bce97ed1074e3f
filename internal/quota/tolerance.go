package quota

import (
	"time"

	"github.com/topazrock/topazrock/internal/workspace"
)

// Tolerance says by how much operations may pass a limit in any time of a length, as the
// platform's operator states it: (rate x Window + burst) x (1 + Overage) + Slack operations. The
// zero Tolerance allows none.
type Tolerance struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// Allowed is how many operations may be begun in a Window.
func (t Tolerance) Allowed(l workspace.Limit) float64 { return t.limited(l) + t.spare(l) }

// limited is what the limit itself allows in a Window.
func (t Tolerance) limited(l workspace.Limit) float64 {
	return l.Rate*t.Window.Seconds() + l.Burst
}

// spare is what the tolerance adds to it.
func (t Tolerance) spare(l workspace.Limit) float64 { return t.limited(l)*t.Overage + t.Slack }

// The spare has three uses. A third deepens the buckets: a bucket that is divided among failure
// domains empties by chance where the whole would not. A third bounds the tokens that are held
// ahead. The rest is for answers on their way, and for shares that are counted with different
// numbers of instances while some come.
const spareParts = 3

// maxDeepening is the most that the spare adds to a bucket, in operations: what chance takes of
// a small bucket. The larger ones leave it to the numbers of instances.
const maxDeepening = 10

// depth is how many tokens the buckets of all limiters hold together.
func (t Tolerance) depth(l workspace.Limit) float64 {
	return l.Burst + min(t.spare(l)/spareParts, maxDeepening)
}

// ahead is how many tokens all instances may hold together for operations to come.
func (t Tolerance) ahead(l workspace.Limit) float64 { return t.spare(l) / spareParts }
