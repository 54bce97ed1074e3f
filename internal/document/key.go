package document

import "github.com/topazrock/topazrock/internal/inifile"

// Key describes one key of a service document for the operators' pages.
type Key = inifile.KeyDoc

// Keys lists every key in the order of the operators' page.
func Keys() []Key { return schema.Docs() }
