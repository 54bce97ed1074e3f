package frontend

import (
	"testing"

	"github.com/matryer/is"
)

// A caller sends an SQL text that ends in "/*/". The start and the end of the
// comment share a byte, and a cut between them has a negative length: the panic
// took the whole instance down, with the sessions of all other callers. Such a
// text carries no tag, and the member answers it.
func TestCommentMarksThatShareAByteAreNoTag(t *testing.T) {
	is := is.New(t)
	for _, sql := range []string{"/*/", "SELECT 1 /*/", "SELECT 1 /*/;", " /*/ SELECT 1"} {
		got, err := parseTag(sql)
		is.NoErr(err)
		is.Equal(got, tag{})
	}
	is.Equal(firstWord("/*/ BEGIN"), "")
	is.Equal(firstWord("/*/ x */ BEGIN"), "begin")
}
