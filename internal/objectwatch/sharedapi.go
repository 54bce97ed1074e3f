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
	// listTimeout bounds a reader's answer: many times a slow one, at a machine with a narrow
	// link.
	listTimeout = time.Second
	// afterGrace is what the answer to a question that was held may take beside.
	afterGrace = 500 * time.Millisecond
	// firstTimeout bounds a reader's first list for an instance that returns to a fleet, and
	// firstWait, a part of it, is how long a reader waits for the platform's own answer.
	firstTimeout = 80 * time.Millisecond
	firstWait    = 60 * time.Millisecond
	// freshFleetWait is how long the list of instances is awaited at least by a fleet that
	// starts for the first time.
	freshFleetWait = 500 * time.Millisecond
	// readerRounds is how often a follower asks its readers before it asks the platform
	// itself, and readerPause the longest pause between two rounds. Readers that start
	// with their followers have the platform's answer within it.
	readerRounds = 3
	readerPause  = 400 * time.Millisecond
	// parentTimeout bounds the first list from the parent in the tree: the time that the parent
	// may wait for its own, parentWait, and that of a large list over a narrow link that it
	// sends to all its children.
	parentTimeout = 4 * time.Second
	parentWait    = 2500 * time.Millisecond
	// rescueWidth is how many readers of any failure domain an instance asks that the
	// platform does not answer.
	rescueWidth = 3
)

// SharedAPI is the platform as one Follower of a kind sees it.
type SharedAPI struct {
	platform.API
	sharing *Sharing
	kind    platform.Kind
	feed    *feed
	copy    *listCopy
	maxAge  time.Duration
	own     ownTries
	// informed says that a list was answered once.
	informed atomic.Bool
	held     heldObject
}

// listing asks the platform for a list in one of its ways.
type listing func(ctx context.Context, kind platform.Kind) ([]platform.Object, int64, error)

// List implements platform.API.
func (a *SharedAPI) List(ctx context.Context, _ platform.Kind) ([]platform.Object, int64, error) {
	return a.list(ctx, a.API.List)
}

// ListStale implements platform.API.
func (a *SharedAPI) ListStale(ctx context.Context, _ platform.Kind) ([]platform.Object, int64, error) {
	return a.list(ctx, a.API.ListStale)
}

func (a *SharedAPI) list(ctx context.Context, ask listing) ([]platform.Object, int64, error) {
	got, err := a.listOfReaders(ctx)
	if err == nil {
		a.informed.Store(true)
		return got.objects, got.Revision, nil
	}
	// Readers elsewhere are asked before the platform by those whose own do not answer: an
	// instance that comes back from a cut must not wait until it may ask the platform again.
	follows := a.informed.Load() && len(a.sharing.readers()) > 0
	if follows {
		if got, ok := a.rescue(ctx, 1, a.listFrom); ok {
			return got.objects, got.Revision, nil
		}
	}
	if !errors.Is(err, errReadsItself) {
		return nil, 0, err
	}
	asked := a.sharing.Clock.Now()
	objects, revision, err := ask(ctx, a.kind)
	if err == nil {
		a.feed.listed(objects, revision, asked)
		a.held.note(objects)
		a.informed.Store(true)
		return objects, revision, nil
	}
	a.failed()
	if follows {
		return nil, 0, err
	}
	if got, ok := a.rescue(ctx, rescueWidth, a.listFrom); ok {
		return got.objects, got.Revision, nil
	}
	return nil, 0, err
}

// listOfReaders asks the readers for a list. Its errors are those of follow.
//
// An instance that returns to a fleet has callers who wait until it knows the objects. Its
// readers may return later than it does, and all the domain would wait for them: it asks
// each once, and then the platform. A fleet that starts for the first time has no callers
// yet, and its instances wait for the readers.
func (a *SharedAPI) listOfReaders(ctx context.Context) (answer, error) {
	began := a.sharing.Clock.Now()
	a.sharing.awaitFleet(ctx, a.kind)
	// The instances themselves are known from an older list by now.
	mayWait := a.informed.Load() || a.kind == platform.KindInstances
	if mayWait || a.sharing.Clock.Now().Sub(began) >= freshFleetWait {
		got, parented, ok := a.listOfParent(ctx)
		switch {
		case ok:
			return got, nil
		case parented && a.own.allowed(a.sharing.Clock.Now()):
			// The readers serve as many others as the parent could not; one more list of
			// theirs would hold up all.
			return answer{}, errReadsItself
		}
		return a.follow(ctx, a.listFrom)
	}
	for _, reader := range a.sharing.readers() {
		got, err := a.call(ctx, reader, methodList, question{Kind: a.kind}, firstTimeout)
		if err == nil && a.young(got) {
			return got, nil
		}
	}
	return answer{}, errReadsItself
}

// listOfParent asks the parent in the tree for the first list, if there is a parent.
func (a *SharedAPI) listOfParent(ctx context.Context) (got answer, parented, ok bool) {
	parent, parented := a.sharing.parent(a.kind)
	if !parented || a.informed.Load() || len(a.sharing.readers()) == 0 {
		return answer{}, false, false
	}
	got, err := a.call(ctx, parent, methodList, question{Kind: a.kind, Waits: true}, parentTimeout)
	return got, true, err == nil && a.young(got)
}

// Watch implements platform.API.
func (a *SharedAPI) Watch(ctx context.Context, _ platform.Kind, after int64) ([]platform.Object, int64, error) {
	watch := func(ctx context.Context, reader platform.Instance) (answer, bool) {
		return a.ask(ctx, reader, methodAfter, question{Kind: a.kind, After: after}, afterWait+afterGrace)
	}
	got, err := a.follow(ctx, watch)
	if err == nil {
		return told(got, after)
	}
	if !errors.Is(err, errReadsItself) {
		return nil, after, err
	}
	objects, next, err := a.watchItself(ctx, after)
	if err == nil {
		a.feed.watched(objects, after, next)
		a.held.note(objects)
		return objects, next, nil
	}
	if errors.Is(err, platform.ErrCompacted) || errors.Is(err, errQuiet) {
		return nil, after, err
	}
	a.failed()
	a.feed.lost()
	if got, ok := a.rescue(ctx, rescueWidth, watch); ok {
		return told(got, after)
	}
	return nil, after, err
}

// ownWatch bounds one watch of the platform by an instance that has readers: several of their
// changes later it asks them again. The platform tells each such instance a large object in
// full, and a reader by what differs.
const ownWatch = 2 * time.Second

// errQuiet ends a watch that was given up with nothing heard. It says nothing of the platform, which
// may be silent or have nothing to tell.
var errQuiet = errors.New("objectwatch: nothing was heard for a while")

// watchItself watches the platform, for a while only where there are readers.
func (a *SharedAPI) watchItself(ctx context.Context, after int64) ([]platform.Object, int64, error) {
	if len(a.sharing.readers()) == 0 {
		return a.API.Watch(ctx, a.kind, after)
	}
	bounded, cancel := context.WithTimeout(ctx, ownWatch)
	defer cancel()
	objects, next, err := a.API.Watch(bounded, a.kind, after)
	if err != nil && ctx.Err() == nil && errors.Is(bounded.Err(), context.DeadlineExceeded) {
		return nil, after, errQuiet
	}
	return objects, next, err
}

// told turns an answer into that of a watch.
func told(got answer, after int64) ([]platform.Object, int64, error) {
	if got.Compacted {
		return nil, after, platform.ErrCompacted
	}
	return got.objects, max(after, got.Revision), nil
}

// Since implements Peers. Readers of the own failure domain are asked, and one elsewhere where
// those do not answer.
func (a *SharedAPI) Since(ctx context.Context, after int64) ([]platform.Object, int64, error) {
	readers := a.sharing.readers()
	if len(readers) == 0 {
		return nil, after, errReadsItself
	}
	q := question{Kind: a.kind, After: after}
	for _, reader := range append(a.sharing.answering(readers), a.sharing.rescuers(1)...) {
		got, ok := a.ask(ctx, reader, methodSince, q, listTimeout)
		if ok && a.young(got) {
			return told(got, after)
		}
	}
	return nil, after, errNoFeed
}

// young reports whether the platform has shown an answer lately enough.
func (a *SharedAPI) young(got answer) bool { return a.maxAge == 0 || got.age() <= a.maxAge }

// errReadsItself says that this instance asks the platform itself now.
var errReadsItself = errors.New("objectwatch: no reader serves this instance")

// follow asks the readers, some rounds if need be. Its errors are errReadsItself, and
// ErrUnavailable where the platform is not to be asked yet.
func (a *SharedAPI) follow(ctx context.Context, ask func(context.Context, platform.Instance) (answer, bool)) (answer, error) {
	for range readerRounds {
		readers := a.sharing.readers()
		if len(readers) == 0 {
			return answer{}, errReadsItself
		}
		asked := a.sharing.answering(readers)
		if len(asked) == 0 {
			break
		}
		for _, reader := range asked {
			if got, ok := ask(ctx, reader); ok {
				// Nobody keeps this instance's own feed up to date any more.
				a.feed.lost()
				return got, nil
			}
		}
		if clock.Sleep(ctx, a.sharing.Clock, a.sharing.jitter(readerPause)) != nil {
			return answer{}, ctx.Err()
		}
	}
	if !a.own.allowed(a.sharing.Clock.Now()) {
		return answer{}, platform.ErrUnavailable
	}
	return answer{}, errReadsItself
}

// rescue asks some readers elsewhere: the platform may refuse this instance and serve others.
func (a *SharedAPI) rescue(ctx context.Context, width int, ask func(context.Context, platform.Instance) (answer, bool)) (answer, bool) {
	for _, reader := range a.sharing.rescuers(width) {
		if got, ok := ask(ctx, reader); ok {
			return got, true
		}
	}
	return answer{}, false
}

// failed notes that the platform did not answer this instance.
func (a *SharedAPI) failed() {
	a.own.failed(a.sharing.Clock.Now(), a.sharing.jitter(ownPause))
}

// listFrom asks a reader for its list.
func (a *SharedAPI) listFrom(ctx context.Context, reader platform.Instance) (answer, bool) {
	got, ok := a.ask(ctx, reader, methodList, question{Kind: a.kind}, listTimeout)
	return got, ok && a.young(got)
}

// ask asks a reader, and keeps in mind whether it answers.
func (a *SharedAPI) ask(ctx context.Context, reader platform.Instance, method string, q question, timeout time.Duration) (answer, bool) {
	got, err := a.call(ctx, reader, method, q, timeout)
	a.sharing.noteAnswer(reader, err)
	return got, err == nil
}

// call sends a question to a reader.
func (a *SharedAPI) call(ctx context.Context, reader platform.Instance, method string, q question, timeout time.Duration) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	base := a.held.get()
	if base.Name != "" {
		q.Base = &baseRef{Name: base.Name, Revision: base.Revision}
	}
	var got answer
	if err := a.sharing.Caller.Call(ctx, reader.PeerAddress, method, q, &got); err != nil {
		return got, err
	}
	var dictionary []byte
	if got.OnBase {
		dictionary = base.Value
	}
	objects, err := unpack(got.Packed, dictionary)
	if err != nil {
		return got, err
	}
	got.objects, got.Packed = objects, nil
	a.held.note(objects)
	a.keepCopy(method, q, got)
	return got, nil
}

// keepCopy keeps what an answer told for those behind this instance in the tree.
func (a *SharedAPI) keepCopy(method string, q question, got answer) {
	switch {
	case method == methodList:
		a.copy.listed(got.objects, got.Revision, a.sharing.Clock.Now().Add(-got.age()))
	case !got.Compacted:
		a.copy.changed(got.objects, q.After, got.Revision)
	}
}
