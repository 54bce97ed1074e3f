// Package quota keeps the operations that begin for a workspace within its limit, summed over
// all instances, without a call to the platform for each operation.
//
// Every instance owns an equal share of each limit: with n instances, 1/n of it. It delegates the
// share to a limiter in its failure domain for the duration of a lease. A limiter is an instance
// that keeps a token bucket for a workspace. The rate and depth of the bucket are those of the
// shares that are delegated to it, and the limiter grants tokens to any instance that asks. An
// operation takes one token. If the limiter in its failure domain has none, an instance asks
// those of the other failure domains.
//
// Invariants. A share is delegated to one limiter at a time: an instance delegates it again only
// when the previous lease has ended by the clock of the limiter that held it. A limiter grants
// no more tokens than its bucket holds, and a share adds tokens to a bucket only for the time
// during which it is delegated to that limiter or to none. Over any period, all limiters together
// therefore grant no more tokens than a single bucket over the sum of the shares, even if the
// instances' views of each other differ: a wrong view makes buckets smaller, and does not add
// tokens. Tolerance bounds what exceeds the limit beyond that: prefetched tokens, answers in
// flight, and shares that instances compute from different numbers of instances.
//
// Limiter, Delegator, Ownership and account make the decisions and do no I/O; Guard sends the
// requests to the limiters.
//
// Lock order: Guard.mu or Limiter.mu, never both; neither is held across I/O.
package quota
