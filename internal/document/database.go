package document

import "github.com/topazrock/topazrock/internal/consistency"

// Database is a name, other than a group's own name, that callers can connect
// to, together with the class assigned to requests on those connections.
type Database struct {
	Name  string
	Group string
	// Class is the name of a read class of the group's service.
	Class string
	// Consistency is what the class's reads must see; nil if it is not known.
	Consistency *consistency.Level
	// Public reports that callers need no workspace key.
	Public bool
}
