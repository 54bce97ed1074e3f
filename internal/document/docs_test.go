package document

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/inifile"
)

// The operators' documentation must list exactly the keys that the parser
// knows, in their sections, with their defaults and ranges.
func TestDocumentationListsEveryKey(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "ops", "service-document.md"))
	is.NoErr(err)
	for _, mismatch := range inifile.CompareDocs(string(page), Keys()) {
		t.Error(mismatch)
	}
}
