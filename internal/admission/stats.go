package admission

// Stats holds the counts of a controller at one point in time.
type Stats struct {
	Slots   int
	Running int
	Waiting int
}
