package registry

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/topazrock/topazrock/internal/platform"
	"github.com/topazrock/topazrock/internal/result"
)

const (
	// methodAnnounce tells an instance which other one can provide the list of instances.
	methodAnnounce = "registry.announce"
	// announceDegree is the number of instances to which one instance announces the list itself.
	// Each of them receives the list from it, so that the time of a level of the tree is that of
	// announceDegree lists on one link.
	announceDegree = 6
	// announceTimeout bounds one announcement; it is several times a slow answer. An instance that
	// answers later gets the announcement all the same.
	announceTimeout = 250 * time.Millisecond
	// maxAnnounceTargets is the largest number of targets that an announcement may have, far above
	// the number of instances in a failure domain.
	maxAnnounceTargets = 20000
	// maxWaitingAnnouncements is the number of announcements that may wait to be passed on.
	maxWaitingAnnouncements = 16
)

// announcement tells an instance where it gets the list of instances. The receiver passes it on to
// the targets, because it does not know the instances of its failure domain yet.
type announcement struct {
	// Source is the peer address of the sender, which has the list or is about to receive it.
	Source string `json:"source"`
	// Targets are peer addresses.
	Targets []string `json:"targets,omitempty"`
}

var errInvalidAnnouncement = result.New(result.ProtocolViolation, "the announcement names no source or too many targets")

// decodeAnnouncement decodes an announcement and checks its bounds.
func decodeAnnouncement(params json.RawMessage) (announcement, error) {
	var a announcement
	if err := json.Unmarshal(params, &a); err != nil {
		return announcement{}, errInvalidAnnouncement.WithCause(err)
	}
	if a.Source == "" || len(a.Targets) > maxAnnounceTargets {
		return announcement{}, errInvalidAnnouncement
	}
	return a, nil
}

// serveAnnouncement passes an announcement on and, if this instance has no list yet, makes it fetch
// the list from the sender.
func (r *Registry) serveAnnouncement(_ context.Context, _ string, params json.RawMessage) (any, error) {
	a, err := decodeAnnouncement(params)
	if err != nil {
		r.Log.Warn("Ignoring invalid announcement.", "error", err)
		return nil, err
	}
	select {
	case r.announced <- a.Source:
	default:
	}
	r.requestAnnouncement(a.Targets)
	return struct{}{}, nil
}

// requestAnnouncement makes announceWhenRequested announce the list to the targets. If too many
// announcements wait, the targets are left to list by themselves.
func (r *Registry) requestAnnouncement(targets []string) {
	select {
	case r.toAnnounce <- targets:
	default:
		r.Log.Info("Announcement was dropped because too many wait.", "targets", len(targets))
	}
}

// announceWhenRequested announces the list to the requested targets until ctx is done.
func (r *Registry) announceWhenRequested(ctx context.Context) {
	var announcements sync.WaitGroup
	defer announcements.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case targets := <-r.toAnnounce:
			announcements.Go(func() { r.announce(ctx, targets) })
		}
	}
}

// announce tells instances that this one provides the list of instances. An instance that does not
// take the announcement, be it dead or of an earlier build, is skipped: the next one of its part of
// the tree takes its place.
func (r *Registry) announce(ctx context.Context, targets []string) {
	var calls sync.WaitGroup
	for _, part := range splitTargets(targets, announceDegree) {
		calls.Go(func() { r.announceToPart(ctx, part) })
	}
	calls.Wait()
}

// announceToPart sends an announcement to the first instance of a part that takes it.
func (r *Registry) announceToPart(ctx context.Context, part []string) {
	for ; len(part) > 0; part = part[1:] {
		a := announcement{Source: r.Self.PeerAddress, Targets: part[1:]}
		bounded, cancel := context.WithTimeout(ctx, announceTimeout)
		err := r.Peers.Call(bounded, part[0], methodAnnounce, a, nil)
		cancel()
		if err == nil {
			return
		}
		r.Log.Debug("Instance did not take an announcement.", "address", part[0], "error", err)
	}
}

// splitTargets divides targets into at most parts parts whose sizes differ by one at most.
func splitTargets(targets []string, parts int) [][]string {
	var all [][]string
	for k := range parts {
		first, end := k*len(targets)/parts, (k+1)*len(targets)/parts
		if first < end {
			all = append(all, targets[first:end])
		}
	}
	return all
}

// announceTargets returns the peer addresses of the other instances of a failure domain. Instances
// of higher capacity come first in each part of the tree, because those pass on more.
func announceTargets(self platform.Instance, known []platform.Instance) []string {
	var others []platform.Instance
	for _, i := range known {
		if i.FailureDomain == self.FailureDomain && i.ID != self.ID && !i.Leaving {
			others = append(others, i)
		}
	}
	return spreadByCapacity(others)
}
