package config

import "time"

// Change is one accepted change of a document.
type Change struct {
	Version int64 `json:"version"`
	// ID tells the change apart from any other, also from one of the same text.
	ID string    `json:"id"`
	By string    `json:"by"`
	At time.Time `json:"at"`
}
