package objectwatch

import (
	"context"

	"github.com/topazrock/topazrock/internal/platform"
)

// watchReader sends a long poll to a reader.
func (a *SharedAPI) watchReader(ctx context.Context, reader platform.Instance, req request) (response, bool) {
	return a.askReader(ctx, reader, methodAfter, req, longPollWait+longPollGrace)
}

// resumeElsewhere watches another reader than compacted, whose history does not reach back to the
// requested revision. Readers that listed at different revisions have different histories, so
// followers that have the earlier list would otherwise all list again from the other reader. The
// response is compacted if no other reader can resume either.
func (a *SharedAPI) resumeElsewhere(ctx context.Context, compacted platform.Instance, req request) response {
	for _, reader := range a.sharing.responsive(a.sharing.readers()) {
		if reader.ID == compacted.ID {
			continue
		}
		// A call that does not wait detects an unresponsive reader sooner than a long poll.
		got, ok := a.askReader(ctx, reader, methodSince, req, readerTimeout)
		if ok && !got.Compacted && got.revision() <= req.after() {
			got, ok = a.watchReader(ctx, reader, req)
		}
		if ok && !got.Compacted {
			return got
		}
	}
	return response{Compacted: true}
}
