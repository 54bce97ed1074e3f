package document

// Database is a name that callers connect to where it is not the group's own,
// and the class of what they send there.
type Database struct {
	Name  string
	Group string
	// Class names a read class of the group's service.
	Class string
	// Public says that callers need no key of a workspace.
	Public bool
}
