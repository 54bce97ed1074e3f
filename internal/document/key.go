package document

import "github.com/topazrock/topazrock/internal/inifile"

// Key describes one key of a service document for the operators' documentation.
type Key = inifile.KeyDoc

// Keys returns every key in the order of the operators' documentation.
func Keys() []Key { return schema.KeyDocs() }
