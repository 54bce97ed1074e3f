package cli

import (
	"fmt"
	"strconv"
	"strings"
)

// versionPrefix begins the comment that get puts above a document, so that
// apply knows which version was edited.
const versionPrefix = "; version: "

// withVersionLine puts the version above a document.
func withVersionLine(text string, version int64) string {
	return fmt.Sprintf("%s%d\n%s", versionPrefix, version, text)
}

// cutVersionLine returns the document without its version line, and the
// version; zero if there is none.
func cutVersionLine(text string) (string, int64) {
	first, rest, _ := strings.Cut(text, "\n")
	number, ok := strings.CutPrefix(strings.TrimSpace(first), versionPrefix)
	if !ok {
		return text, 0
	}
	version, err := strconv.ParseInt(number, 10, 64)
	if err != nil || version < 1 {
		return text, 0
	}
	return rest, version
}
