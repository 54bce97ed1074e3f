package config

import "errors"

var (
	errValueTooLarge      = errors.New("config: the stored value would be too large")
	errBadEnvelope        = errors.New("config: the stored value is not an envelope")
	errWrongName          = errors.New("config: the document names another service")
	errSyncedFromPeers    = errors.New("config: peers have told what the platform holds")
	errExchangeUnfinished = errors.New("config: the exchange goes on with the next beat")
	errNoDocuments        = errors.New("config: neither side of the exchange has documents")
	errNoPeers            = errors.New("config: no peer is known")
)
