// Package config maintains the current version of each service document on this
// instance, stores operators' changes on the platform, and distributes them to
// the other instances.
//
// A document has its own version inside the stored value, separate from the
// object version that the platform assigns. The object version is used only for
// conditional updates, so that a platform that lost its store and restarted at
// zero cannot make a document's version decrease. A version that is not higher
// than the current one is never applied, whatever its source.
//
// Changes reach an instance in four ways. Relays, a few instances in each
// failure domain, watch the platform. Each instance that receives a new version
// pushes it to its children in a tree over its failure domain. A digest
// exchanged with one peer every second repairs lost updates, also across
// failure domains. A starting instance asks the platform and its peers.
//
// Lock order: Store.adoptMu, then Store.mu, then Store.randMu. peerTopology.mu
// is never held together with these, only with locks of the membership view.
// adoptMu is held while subscribers are called, so that they see versions in
// order. No lock is held across a call to the platform or to a peer.
package config
