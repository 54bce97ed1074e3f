// Package shares divides a group's connections and slots among instances, so that their
// sum never exceeds the group's total.
//
// The platform object KindShares/<group> stores a ledger of shares. A share has a size
// and at most one holder. Stored data and metrics call a share a seat. The sizes in every
// version of the ledger sum to no more than the total. Three rules extend this to the
// connections and slots that members see:
//
//   - An instance uses no more than the size of its own share in the newest version of
//     the ledger, even if it has not read that version. This holds because only the
//     holder of a share lowers its size.
//   - A holder closes connections first and writes the lower size afterwards.
//   - A share changes hands only after its holder is proved to use nothing: it released
//     the share, another process answers at its address, or it has been unreachable for
//     Config.HolderExpiry.
//
// Apart from HolderExpiry no rule depends on time, so neither a frozen process nor a
// delayed message breaks one. A failure domain that is cut off keeps its whole share for
// as long as the cut lasts, because only its own instances may take that share. If a
// holder vanishes and nothing proves that it uses nothing, its successor takes one of a
// few reserve shares. Idle capacity moves between holders in one conditional update by
// the lender, which subtracts from its own share what it adds to the borrower's. Calls
// between instances only request a loan or announce the change; losing one causes a delay
// and cannot create capacity.
//
// The platform's store may return from an older copy, whose ledger lacks the latest changes. The
// holders then write again what they held before; see restoration. Until they have had the time
// for that, nobody takes, lends or raises anything.
//
// A Manager does all its work in the goroutine of Run. Lock order: Manager.mu, which
// guards the fields that other goroutines read, and Directory.mu are both leaf locks.
package shares
