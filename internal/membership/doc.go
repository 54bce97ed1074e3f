// Package membership maintains an instance's view of the other instances and of the upstreams
// that are leaving, and computes the home instances of each group.
//
// The view is based on the platform's instance list, which lags behind and may be unavailable;
// the last good list stays in use. Two instances may therefore disagree about the homes of a
// group. That costs a hop: a home runs every request that reaches it, and any other instance
// forwards it once more. No guarantee depends on the view: write authority, connection limits
// and document versions are decided by conditional updates on the platform.
//
// In each failure domain, a few relays read the platform's list; the other instances get it
// from them through a tree. Where there are few instances, all are relays.
//
// Readers load one immutable snapshot. Lock order: Members.mu, then snapshot.mu; neither is
// held across a call to the platform.
package membership
