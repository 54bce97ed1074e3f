package homechoice

import "github.com/topazrock/topazrock/internal/execution"

// Capability is what an instance can do for a group that it is home to.
type Capability struct {
	// Writes means that it reaches a primary whose writes can be confirmed.
	Writes bool `json:"writes"`
	// Reads means that it can prove reads fresh, by the primary or by a majority.
	Reads bool `json:"reads"`
}

// CanServe reports whether the capability is sufficient for a unit.
func (c Capability) CanServe(u *execution.Unit) bool {
	if u.IsReadOnly() {
		return c.Reads
	}
	return c.Writes
}
