package shares

import "github.com/topazrock/topazrock/internal/admission"

// GateResource returns a Resource that limits the slots of a gate.
func GateResource(c *admission.Controller) Resource { return gateResource{c} }

type gateResource struct{ *admission.Controller }

func (r gateResource) Set(n int) { r.SetSlots(n) }

func (r gateResource) Usage() (inUse, waiting int) {
	s := r.Stats()
	return s.Running, s.Waiting
}
