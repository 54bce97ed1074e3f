// Package config keeps the service documents that are in force on this
// instance, stores an operator's changes on the platform, and spreads them.
//
// A document has a version of its own inside the stored value, apart from the
// version that the platform gives the object. The platform's version serves
// for conditional updates only, so that a platform that lost its store and
// began at zero again cannot make a document's version fall. A version that is
// not higher than the one in force is never applied, whatever its source.
//
// Changes reach an instance in four ways: relays (a few instances in each
// failure domain) hold the platform's watch; each instance that learns a
// version pushes it to its children in a tree over its failure domain; a
// digest exchanged with one peer each second repairs what was lost, also
// across failure domains; and a starting instance asks the platform and peers.
//
// Lock order: Store.adoption, then Store.mu, then Store.randMu; contacts.mu is
// taken alone, apart from the locks of the fleet's view. adoption is
// held while subscribers are called, so that they see versions in order; no
// lock is held across a call to the platform or to a peer.
package config
