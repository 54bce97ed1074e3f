package quota

import (
	"time"

	"github.com/topazrock/topazrock/internal/workspace"
)

// Tolerance is the operator's bound on how far operations may exceed a limit: in any time of
// length Window, at most (rate x Window + burst) x (1 + Overage) + Slack operations may begin.
// The zero Tolerance allows no excess.
type Tolerance struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// Allowed returns how many operations may begin in a Window.
func (t Tolerance) Allowed(l workspace.Limit) float64 { return t.limitPerWindow(l) + t.excess(l) }

// limitPerWindow returns what the limit itself allows in a Window.
func (t Tolerance) limitPerWindow(l workspace.Limit) float64 {
	return l.Rate*t.Window.Seconds() + l.Burst
}

// excess returns how many operations the tolerance adds to the limit in a Window.
func (t Tolerance) excess(l workspace.Limit) float64 { return t.limitPerWindow(l)*t.Overage + t.Slack }

// The excess has three uses. A third adds to the depth of the buckets: a bucket that is divided
// among failure domains is sometimes empty by chance when an undivided one is not. A third
// bounds the prefetched tokens. The rest covers answers in flight, and share counts that
// differ between instances while new instances join.
const excessDivisor = 3

// maxExtraDepth bounds what the excess adds to a bucket's depth, in operations. This is enough to
// absorb random variation in a small bucket. In a larger one, the remainder of the third is left
// to cover share counts that differ between instances.
const maxExtraDepth = 10

// totalDepth returns how many tokens the buckets of all limiters can hold together.
func (t Tolerance) totalDepth(l workspace.Limit) float64 {
	return l.Burst + min(t.excess(l)/excessDivisor, maxExtraDepth)
}

// maxPrefetched returns how many prefetched tokens all instances may hold together.
func (t Tolerance) maxPrefetched(l workspace.Limit) float64 { return t.excess(l) / excessDivisor }
