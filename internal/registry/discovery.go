package registry

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/topazrock/topazrock/internal/platform"
)

const (
	// listPause is how long an instance that knows nobody waits at least before it lists the others:
	// all instances of a new deployment start together and write their entries first.
	listPause = 500 * time.Millisecond
	// listSpread is the time after listPause over which the instances list.
	listSpread = time.Second
	// spreadExponent sets how unevenly they are spread: the number of instances whose time has come
	// grows by the factor e^spreadExponent, some ten thousand, over listSpread. In a failure domain of
	// up to that size the first instance lists well before the others.
	spreadExponent = 9.2
	// pullTimeout bounds the request for the list from the instance that announced it. It covers the
	// time in which that instance receives it itself.
	pullTimeout = 3 * time.Second
)

// ListRelay exchanges lists of instances with other instances.
type ListRelay interface {
	// ListFrom requests the list from the instance at an address, which may have to wait for it.
	ListFrom(ctx context.Context, address string) ([]platform.Object, error)
	// ProvideList makes this instance serve a list that it received from the platform, and follow the
	// changes after it.
	ProvideList(objects []platform.Object, revision platform.Revision)
}

// listDelay returns when an instance lists the others, as a part of listSpread, from a random number
// in [0, 1).
//
// Load pattern: a thousand instances start at the same time and know nobody. If each listed all
// others, the store would send the square of their number over one link. Few of them therefore list
// early, and announce the list to the others before their time has come. The number of those that
// list meanwhile does not depend on the number of instances, because their times are distributed
// exponentially.
func listDelay(random float64) time.Duration {
	least := math.Exp(-spreadExponent)
	part := 1 + math.Log(least+random*(1-least))/spreadExponent
	return time.Duration(part * float64(listSpread))
}

// discover obtains the first list of instances: from an instance that announces it, or from the
// platform. It returns when there is a list or ctx is done.
func (r *Registry) discover(ctx context.Context, random *rand.Rand) {
	for {
		timer := r.Clock.NewTimer(listPause + listDelay(random.Float64()))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case source := <-r.announced:
			timer.Stop()
			if r.pullList(ctx, source) {
				return
			}
		case <-timer.C:
			if r.listAndAnnounce(ctx) {
				return
			}
		}
	}
}

// pullList requests the list from another instance and reports whether it got it.
func (r *Registry) pullList(ctx context.Context, source string) bool {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	objects, err := r.ListRelay.ListFrom(ctx, source)
	if err != nil {
		r.Log.Info("The announced list of instances was not received.", "source", source, "error", err)
		return false
	}
	r.applyDiscovered(objects)
	return true
}

// sharesLists reports whether this instance exchanges lists of instances with others.
func (r *Registry) sharesLists() bool { return r.ListRelay != nil && r.Peers != nil }

// listAndAnnounce lists the instances and announces the list within the failure domain. It reports
// whether the platform answered.
func (r *Registry) listAndAnnounce(ctx context.Context) bool {
	objects, revision, err := r.API.List(ctx, platform.KindInstances)
	if err != nil {
		r.Log.Info("Listing the instances failed.", "error", err)
		return false
	}
	r.provideList(objects, revision)
	r.applyDiscovered(objects)
	if r.sharesLists() {
		r.requestAnnouncement(announceTargets(r.Self, r.knownInstances()))
	}
	return true
}

// provideList makes a list available to other instances.
func (r *Registry) provideList(objects []platform.Object, revision platform.Revision) {
	if r.ListRelay != nil {
		r.ListRelay.ProvideList(objects, revision)
	}
}

// applyDiscovered stores the entries of a list and passes them on if there are other instances.
func (r *Registry) applyDiscovered(objects []platform.Object) {
	r.mu.Lock()
	for _, o := range objects {
		r.applyObject(o)
	}
	r.mu.Unlock()
	if r.knowsOtherInstances() {
		r.InstanceSink.SetInstances(r.knownInstances())
	}
}

// spreadByCapacity returns the peer addresses of instances in an order in which each of announceDegree
// equal parts begins with instances of high capacity.
func spreadByCapacity(instances []platform.Instance) []string {
	ordered := slices.Clone(instances)
	slices.SortFunc(ordered, func(a, b platform.Instance) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.ID, b.ID))
	})
	parts := splitTargets(make([]string, len(ordered)), announceDegree)
	filled := make([]int, len(parts))
	next := 0
	for _, i := range ordered {
		for filled[next] == len(parts[next]) {
			next = (next + 1) % len(parts)
		}
		parts[next][filled[next]] = i.PeerAddress
		filled[next]++
		next = (next + 1) % len(parts)
	}
	return slices.Concat(parts...)
}
