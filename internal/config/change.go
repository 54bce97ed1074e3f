package config

import "time"

// Change is an accepted change of a document.
type Change struct {
	Version int64 `json:"version"`
	// ID uniquely identifies the change, even among changes with the same text.
	ID string    `json:"id"`
	By string    `json:"by"`
	At time.Time `json:"at"`
}
