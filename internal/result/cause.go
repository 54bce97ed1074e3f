package result

import "context"

// FromCause returns the Error with which ctx was cancelled, if it was cancelled with one.
func FromCause(ctx context.Context) (*Error, bool) {
	if ctx.Err() == nil {
		return nil, false
	}
	return As(context.Cause(ctx))
}
