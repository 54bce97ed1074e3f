package objectwatch

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/platform"
)

const (
	// readerTimeout bounds a call to a reader. It is many times a slow response time on a
	// machine with a narrow link.
	readerTimeout = time.Second
	// longPollGrace is the time that the response to a long poll may take in addition to its
	// wait.
	longPollGrace = 500 * time.Millisecond
	// startupListTimeout bounds the call for a reader's first list when an instance returns to a
	// running fleet. Within it, startupListWait is how long the reader waits for the platform's
	// response.
	startupListTimeout = 80 * time.Millisecond
	startupListWait    = 60 * time.Millisecond
	// newFleetWait is how long an instance must have waited for the list of instances to conclude
	// that the whole fleet is starting for the first time.
	newFleetWait = 500 * time.Millisecond
	// readerRounds is how often a follower asks all its readers before it calls the platform
	// itself, and readerRoundPause the longest pause between two rounds. Readers that start at
	// the same time as their followers have the platform's response by then.
	readerRounds     = 3
	readerRoundPause = 400 * time.Millisecond
	// parentTimeout bounds the request for the first list from the parent in the relay tree. It
	// covers parentWait, which the parent may wait for its own list, and the transfer of a large
	// list to all children over a narrow link.
	parentTimeout = 4 * time.Second
	parentWait    = 2500 * time.Millisecond
	// fallbackReaderCount is how many readers of any failure domain an instance asks if the
	// platform does not answer it.
	fallbackReaderCount = 3
)

// SharedAPI is the platform API for one Follower of a kind, with calls shared between instances.
type SharedAPI struct {
	platform.API
	sharing     *Sharing
	kind        platform.Kind
	feed        *feed
	relayed     *relayedList
	maxAge      time.Duration
	directCalls directCallLimiter
	// hasList reports whether a list was received at least once.
	hasList atomic.Bool
	base    deltaBase
}

// listFunc is one of the platform's list calls.
type listFunc func(ctx context.Context, kind platform.Kind) ([]platform.Object, platform.Revision, error)

// List implements platform.API.
func (a *SharedAPI) List(ctx context.Context, _ platform.Kind) ([]platform.Object, platform.Revision, error) {
	return a.list(ctx, a.API.List)
}

// ListStale implements platform.API.
func (a *SharedAPI) ListStale(ctx context.Context, _ platform.Kind) ([]platform.Object, platform.Revision, error) {
	return a.list(ctx, a.API.ListStale)
}

func (a *SharedAPI) list(ctx context.Context, listPlatform listFunc) ([]platform.Object, platform.Revision, error) {
	if list, ok := a.takeProvided(); ok {
		return list.objects, list.revision, nil
	}
	got, err := a.listFromReaders(ctx)
	if err == nil {
		a.hasList.Store(true)
		return got.objects, got.revision(), nil
	}
	// If its own readers do not answer, the instance asks readers in other failure domains
	// before it calls the platform. After a network partition it must not wait until a direct
	// call is allowed again.
	isFollower := a.hasList.Load() && len(a.sharing.readers()) > 0
	if isFollower {
		if got, ok := a.askFallbackReaders(ctx, 1, a.listFromReader); ok {
			return got.objects, got.revision(), nil
		}
	}
	if !errors.Is(err, errNoReader) {
		return nil, 0, err
	}
	requestedAt := a.sharing.Clock.Now()
	objects, revision, err := listPlatform(ctx, a.kind)
	if err == nil {
		a.feed.applyBase(a.relayed.snapshot(), revision)
		a.feed.applyList(objects, revision, requestedAt)
		a.base.update(objects)
		a.hasList.Store(true)
		return objects, revision, nil
	}
	a.recordDirectFailure()
	if isFollower {
		return nil, 0, err
	}
	if got, ok := a.askFallbackReaders(ctx, fallbackReaderCount, a.listFromReader); ok {
		return got.objects, got.revision(), nil
	}
	return nil, 0, err
}

// listFromReaders requests a list from the readers. Its errors are those of askReaders.
//
// An instance that returns to a running fleet has callers that wait until it has the objects.
// Its readers may return later than it does and would delay the whole failure domain, so it asks
// each reader once, then some other instances, and then the platform. A fleet that starts for the
// first time has no callers yet, and its instances wait for the readers.
func (a *SharedAPI) listFromReaders(ctx context.Context) (response, error) {
	start := a.sharing.Clock.Now()
	a.sharing.waitForFleet(ctx, a.kind)
	// For KindInstances, an older list is already known at this point.
	canWait := a.hasList.Load() || a.kind == platform.KindInstances
	if canWait || a.sharing.Clock.Now().Sub(start) >= newFleetWait {
		got, hasParent, ok := a.listFromParent(ctx)
		switch {
		case ok:
			return got, nil
		case hasParent && a.directCalls.allowed(a.sharing.Clock.Now()):
			// The readers serve every instance whose parent failed to respond; one more list
			// from them would delay all of these.
			return response{}, errNoReader
		}
		return a.askReaders(ctx, a.listFromReader)
	}
	return a.listOnReturn(ctx)
}

// listFromParent requests the first list from the parent in the relay tree, if there is one.
func (a *SharedAPI) listFromParent(ctx context.Context) (got response, hasParent, ok bool) {
	parent, hasParent := a.sharing.parent(a.kind)
	if !hasParent || a.hasList.Load() || len(a.sharing.readers()) == 0 {
		return response{}, false, false
	}
	got, err := a.callPeer(ctx, parent, methodList, request{Kind: a.kind, WaitForList: true}, parentTimeout)
	return got, true, err == nil && a.freshEnough(got)
}

// Watch implements platform.API.
func (a *SharedAPI) Watch(ctx context.Context, _ platform.Kind, after platform.Revision) ([]platform.Object, platform.Revision, error) {
	req := newRequest(a.kind, after)
	var answering platform.Instance
	watch := func(ctx context.Context, reader platform.Instance) (response, bool) {
		answering = reader
		return a.watchReader(ctx, reader, req)
	}
	got, err := a.askReaders(ctx, watch)
	if err == nil && got.Compacted {
		got = a.resumeElsewhere(ctx, answering, req)
	}
	if err == nil {
		return watchResult(got, after)
	}
	if !errors.Is(err, errNoReader) {
		return nil, after, err
	}
	if len(a.sharing.readers()) == 0 && !a.feed.isLoaded() {
		// Others follow this instance. It has become a reader, or its list does not reach up to its
		// revision: without a list its feed would have nothing for them.
		return nil, after, platform.ErrCompacted
	}
	objects, next, err := a.watchPlatform(ctx, after)
	if err == nil {
		a.feed.applyWatch(objects, after, next)
		a.base.update(objects)
		return objects, next, nil
	}
	if errors.Is(err, platform.ErrCompacted) || errors.Is(err, errWatchExpired) {
		return nil, after, err
	}
	a.recordDirectFailure()
	a.feed.markUnreachable()
	if got, ok := a.askFallbackReaders(ctx, fallbackReaderCount, watch); ok {
		return watchResult(got, after)
	}
	return nil, after, err
}

// directWatchTimeout bounds one direct watch of an instance that has readers. The instance then
// asks its readers again, after a few changes at most: the platform sends a changed large object
// in full to each instance that watches directly, while a reader sends only a delta.
const directWatchTimeout = 2 * time.Second

// errWatchExpired reports that a direct watch ended on this side without a response. It does not
// show whether the platform is unresponsive or has no changes.
var errWatchExpired = errors.New("objectwatch: direct watch ended without a response")

// watchPlatform watches the platform directly, for directWatchTimeout at most if the instance
// has readers.
func (a *SharedAPI) watchPlatform(ctx context.Context, after platform.Revision) ([]platform.Object, platform.Revision, error) {
	if len(a.sharing.readers()) == 0 {
		return a.API.Watch(ctx, a.kind, after)
	}
	bounded, cancel := context.WithTimeout(ctx, directWatchTimeout)
	defer cancel()
	objects, next, err := a.API.Watch(bounded, a.kind, after)
	if err != nil && ctx.Err() == nil && errors.Is(bounded.Err(), context.DeadlineExceeded) {
		return nil, after, errWatchExpired
	}
	return objects, next, err
}

// watchResult converts a response to the result of a watch.
func watchResult(got response, after platform.Revision) ([]platform.Object, platform.Revision, error) {
	if got.Compacted {
		return nil, after, platform.ErrCompacted
	}
	return got.objects, max(after, got.revision()), nil
}

// ChangesSince implements Peers. It asks the readers in this failure domain, and then one in
// another failure domain if none of them answers. Its error is platform.ErrCompacted if the
// history of none of those that answer reaches back to the revision.
func (a *SharedAPI) ChangesSince(ctx context.Context, after platform.Revision) ([]platform.Object, platform.Revision, error) {
	readers := a.sharing.readers()
	if len(readers) == 0 {
		return nil, after, errNoReader
	}
	req := newRequest(a.kind, after)
	since := func(ctx context.Context, reader platform.Instance) (response, bool) {
		got, ok := a.askReader(ctx, reader, methodSince, req, readerTimeout)
		return got, ok && a.freshEnough(got)
	}
	compacted := false
	for _, reader := range a.sharing.responsive(readers) {
		got, ok := since(ctx, reader)
		if ok && !got.Compacted {
			return watchResult(got, after)
		}
		compacted = compacted || ok
	}
	if compacted {
		return nil, after, platform.ErrCompacted
	}
	if got, ok := a.askFallbackReaders(ctx, 1, since); ok {
		return watchResult(got, after)
	}
	return nil, after, errFeedUnavailable
}

// freshEnough reports whether a response is based on a list that is at most maxAge old.
func (a *SharedAPI) freshEnough(got response) bool { return a.maxAge == 0 || got.age() <= a.maxAge }

// errNoReader reports that the instance must call the platform itself.
var errNoReader = errors.New("objectwatch: no reader serves this instance")

// askReaders asks the readers, in several rounds if necessary. Its errors are errNoReader,
// platform.ErrUnavailable if a direct call to the platform is not allowed yet, and the error of
// ctx.
func (a *SharedAPI) askReaders(ctx context.Context, ask func(context.Context, platform.Instance) (response, bool)) (response, error) {
	for range readerRounds {
		readers := a.sharing.readers()
		if len(readers) == 0 {
			return response{}, errNoReader
		}
		responsive := a.sharing.responsive(readers)
		if len(responsive) == 0 {
			break
		}
		for _, reader := range responsive {
			if got, ok := ask(ctx, reader); ok {
				// From now on nothing keeps this instance's own feed up to date.
				a.feed.markUnreachable()
				return got, nil
			}
		}
		if clock.Sleep(ctx, a.sharing.Clock, a.sharing.jitter(readerRoundPause)) != nil {
			return response{}, ctx.Err()
		}
	}
	if !a.directCalls.allowed(a.sharing.Clock.Now()) {
		return response{}, platform.ErrUnavailable
	}
	return response{}, errNoReader
}

// askFallbackReaders asks readers that this instance does not normally follow: the platform may
// refuse this instance and serve others.
func (a *SharedAPI) askFallbackReaders(ctx context.Context, count int, ask func(context.Context, platform.Instance) (response, bool)) (response, bool) {
	for _, reader := range a.sharing.pickFallbackReaders(count) {
		if got, ok := ask(ctx, reader); ok {
			return got, true
		}
	}
	return response{}, false
}

// recordDirectFailure records that the platform did not answer this instance.
func (a *SharedAPI) recordDirectFailure() {
	a.directCalls.recordFailure(a.sharing.Clock.Now(), a.sharing.jitter(directCallPause))
}

// listFromReader requests a list from a reader.
func (a *SharedAPI) listFromReader(ctx context.Context, reader platform.Instance) (response, bool) {
	got, ok := a.askReader(ctx, reader, methodList, request{Kind: a.kind}, readerTimeout)
	return got, ok && a.freshEnough(got)
}

// askReader sends a request to a reader and records whether the reader responds.
func (a *SharedAPI) askReader(ctx context.Context, reader platform.Instance, method string, req request, timeout time.Duration) (response, bool) {
	got, err := a.callPeer(ctx, reader, method, req, timeout)
	a.sharing.recordResponse(reader, err)
	return got, err == nil
}

// callPeer sends a request to an instance and decodes the response.
func (a *SharedAPI) callPeer(ctx context.Context, target platform.Instance, method string, req request, timeout time.Duration) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	base := a.base.get()
	if base.Name != "" {
		req.DeltaBase = newVersionRef(base)
	}
	var got response
	if err := a.sharing.Caller.Call(ctx, target.PeerAddress, method, req, &got); err != nil {
		return got, err
	}
	if !platform.ValidEra(got.Era) {
		return got, errInvalidEra
	}
	if got.Era < a.API.Eras().Latest() {
		return got, errEarlierEra
	}
	a.API.Eras().Observe(got.Era)
	var dictionary []byte
	if got.Delta {
		dictionary = base.Value
	}
	objects, err := decodeObjects(got.Encoded, dictionary, got.Era)
	if err != nil {
		return got, err
	}
	got.objects, got.Encoded = objects, nil
	a.base.update(objects)
	a.updateRelayed(method, req, got)
	return got, nil
}

// updateRelayed updates the list that this instance serves to its children in the relay tree.
func (a *SharedAPI) updateRelayed(method string, req request, got response) {
	switch {
	case method == methodList:
		a.relayed.applyList(got.objects, got.revision(), a.sharing.Clock.Now().Add(-got.age()))
	case got.Compacted:
	case method == methodSince:
		a.relayed.applyChanges(got.objects, req.after(), got.revision(), a.sharing.Clock.Now().Add(-got.age()))
	default:
		a.relayed.applyChanges(got.objects, req.after(), got.revision(), time.Time{})
	}
}
