// Package homechoice decides which home instance of a group a unit is sent to: the order of homes
// for an owner, the homes that are avoided because they are unreachable or shutting down, and the
// homes that are known to be able to serve what this instance cannot. The executor sends the units.
//
// Lock order: Finder.mu, Avoided.mu and Loads.mu are never held together, and none across I/O.
package homechoice
