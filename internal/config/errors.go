package config

import "errors"

var (
	errValueTooLarge      = errors.New("config: the stored value would be too large")
	errBadEnvelope        = errors.New("config: the stored value is not an envelope")
	errWrongName          = errors.New("config: the document names another service")
	errSyncedFromPeers    = errors.New("config: peers have already supplied the documents")
	errExchangeUnfinished = errors.New("config: the exchange is incomplete and continues at the next interval")
	errNoDocuments        = errors.New("config: neither this instance nor the peer has documents")
	errNoPeers            = errors.New("config: no known peers")
)
