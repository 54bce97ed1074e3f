package config

import "github.com/topazrock/topazrock/internal/document"

// Applied is the current version of a document. It is immutable.
type Applied struct {
	Name string
	Envelope
	Service *document.Service
}
