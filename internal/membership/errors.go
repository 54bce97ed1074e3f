package membership

import "errors"

var (
	// errEmptyList says that a list named no instance where the one in use names
	// some.
	errEmptyList = errors.New("membership: the list names no instance")
	// errOlderList says that the list in use is from a later reading.
	errOlderList = errors.New("membership: the list is older than the one in use")
	errNoList    = errors.New("membership: the peer has no list")
	errNoPeers   = errors.New("membership: no peer is known")
)
