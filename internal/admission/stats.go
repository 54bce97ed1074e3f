package admission

// Stats counts the requests of a controller at one moment.
type Stats struct {
	Slots   int
	Running int
	Waiting int
}
