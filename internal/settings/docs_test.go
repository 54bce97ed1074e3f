package settings

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/inifile"
)

// The operator documentation must list exactly the keys of the schema, in their
// sections, with their defaults and ranges.
func TestOperatorPageListsEveryKey(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "ops", "install-and-settings.md"))
	is.NoErr(err)
	for _, difference := range inifile.CompareDocs(string(page), Keys()) {
		t.Error(difference)
	}
}
