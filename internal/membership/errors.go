package membership

import "errors"

var (
	// errEmptyList means that a list is empty while the one in use is not.
	errEmptyList = errors.New("membership: list is empty")
	// errOlderList means that the list in use was read later.
	errOlderList = errors.New("membership: list is older than the one in use")
	errNoList    = errors.New("membership: the peer has no list")
	errNoPeers   = errors.New("membership: no peer is known")
)
