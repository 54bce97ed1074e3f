package config

import "github.com/topazrock/topazrock/internal/document"

// Applied is a document in force. It is never changed.
type Applied struct {
	Name string
	Envelope
	Service *document.Service
}
