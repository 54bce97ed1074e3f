package membership

import "errors"

// errEmptyList says that the platform listed no instance where it listed some
// before.
var errEmptyList = errors.New("membership: the platform lists no instance")
