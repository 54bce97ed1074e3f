// Package quota keeps the operations that are begun for a workspace within its limit, summed
// over all instances, without a call to the platform for an operation.
//
// Every instance owns an equal share of each limit, one of as many as there are instances, and
// delegates it to a limiter of its failure domain for the length of a lease. A limiter is an
// instance that keeps a token bucket for a workspace; its rate and depth are the shares that
// are delegated to it, and it hands out tokens to whoever asks. An operation takes one token.
// Where the limiter of its failure domain has none, an instance asks those of the others.
//
// Invariants. A share is delegated to one limiter at a time: an instance delegates it anew only
// when the lease before has ended by the clock of whoever held it. A limiter hands out what its
// bucket holds and no more, and a bucket gains nothing from a share but while it is delegated, or
// while nobody held it. So in any time the tokens of all limiters together are those of one
// bucket over the sum of the shares, whatever instances know of each other: wrong views make
// limiters smaller, not more. What passes the limit besides is bounded by Tolerance: the tokens
// that instances hold ahead, answers on their way, and shares that are counted with different
// numbers of instances.
//
// Limiter, Shares, Ownership and account decide and do no I/O; Guard asks the limiters.
//
// Lock order: Guard.mu or Limiter.mu, never both; neither is held across I/O.
package quota
