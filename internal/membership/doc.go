// Package membership is an instance's view of the other instances and of which
// upstreams are leaving, and names the home instances of each group.
//
// The view comes from the platform's instance list, which lags behind reality
// and may be out of reach; the last good list stays in use. Two instances may
// therefore disagree about who is home to a group. That costs a hop: a home
// runs what reaches it and another instance forwards once more. No promise
// rests on the view: write authority, connection totals and document versions
// are settled by conditional updates on the platform.
//
// A few relays in each failure domain read the platform's list; the others get
// it from them through a tree. Where there are few instances, all are relays.
//
// Readers load one immutable snapshot. Lock order: Members.mu, then
// snapshot.mu; neither is held across a call to the platform.
package membership
