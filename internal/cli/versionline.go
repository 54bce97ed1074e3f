package cli

import (
	"fmt"
	"strconv"
	"strings"
)

// versionPrefix is the start of the comment line that the get command adds above a
// document. From it, the apply command knows which version was edited.
const versionPrefix = "; version: "

// addVersionLine adds a version line above a document.
func addVersionLine(text string, version int64) string {
	return fmt.Sprintf("%s%d\n%s", versionPrefix, version, text)
}

// cutVersionLine returns the document without its version line, and the version.
// The version is zero if there is no valid version line.
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
