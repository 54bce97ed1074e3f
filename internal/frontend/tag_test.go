package frontend

import (
	"testing"

	"github.com/matryer/is"
)

// A caller sends an SQL text that ends in "/*/". The start and end delimiters of the
// comment overlap, and slicing between them gives a negative length: the panic would
// crash the whole instance and with it the sessions of all other callers. Such a text has
// no tag and is sent to a member.
func TestOverlappingCommentDelimitersAreNoTag(t *testing.T) {
	is := is.New(t)
	for _, sql := range []string{"/*/", "SELECT 1 /*/", "SELECT 1 /*/;", " /*/ SELECT 1"} {
		got, err := parseTag(sql)
		is.NoErr(err)
		is.Equal(got, tag{})
	}
	is.Equal(firstWord("/*/ BEGIN"), "")
	is.Equal(firstWord("/*/ x */ BEGIN"), "begin")
}
