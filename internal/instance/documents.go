package instance

import (
	"github.com/topazrock/topazrock/internal/config"
	"github.com/topazrock/topazrock/internal/document"
)

// documents looks services up by group in the store of documents in force.
type documents struct{ store *config.Store }

// FindService implements frontend.Directory.
func (d documents) FindService(group string) (*document.Service, bool) {
	a, _, ok := d.store.FindGroup(group)
	return a.Service, ok
}

// Ready implements frontend.Directory.
func (d documents) Ready() bool { return d.store.Ready() }
