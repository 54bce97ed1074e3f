// Package shares divides a group's connections and slots among the instances
// that hold them, so that the sum never passes the group's total.
//
// The platform's object KindShares/<group> is a ledger of seats. A seat has a
// size and at most one holder. Every version of the ledger sums to no more than
// the total, and three rules make it hold for what members see as well:
//
//   - An instance holds no more than the size of its own seat in the ledger's
//     newest version, whether it has read that version or not. This is so
//     because a seat's size is lowered by its holder alone.
//   - A holder closes first and writes the lower size afterwards.
//   - A seat changes hands only when its holder is proved to hold nothing: it
//     gave the seat back, or another process answers at its address, or (see
//     Config.AgeOut) it was gone from everything for a long time.
//
// No rule needs a clock, so neither a frozen process nor a late message breaks
// one, and a holder that is cut off goes on with its whole seat for as long as
// the cut lasts. Each failure domain has a seat that only its own instances may
// take; a few reserve seats serve successors of holders that vanished without
// proof. Share that is idle moves between holders by one conditional update of
// the lender, which takes from its own seat what it adds to the borrower's. Calls between instances
// only ask for it and point at the change: losing one delays, and cannot
// create share.
//
// A Manager does all its work in the goroutine of Run. Lock order: Manager.mu
// guards what other goroutines read and is a leaf; Directory.mu is a leaf too.
package shares
