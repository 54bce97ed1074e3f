package result

import (
	"fmt"
	"io"
	"strings"
)

// pageHeader is the introduction of docs/RESULT-CODES.md.
const pageHeader = `# Result codes

Every refusal and every failure that topazrock answers carries one number. A
database client sees it as the SQLSTATE of the error and, as TZ and the number,
at the start of the message; the administration API sends it as ` + "`code`" + ` in an
` + "`application/problem+json`" + ` body. Metrics use the same TZ form as the label ` + "`code`" + `.

The thousands digit is the family, and no code belongs to two.

- **did not run** (1xxx, SQLSTATE TDxxx): the request did not run and never will.
  The code is given only before the first byte of a statement went to a member,
  or on a proof that the statement can never run.
- **outcome unknown** (2xxx, TUxxx): the request was sent; it may or may not have run.
- **already ran** (3xxx, TRxxx): the request ran; this answer does not carry its result.
- **administration** (4xxx, TAxxx): outcomes of the administration API.

Errors that a member itself reports, such as a unique violation, pass through
with the member's own SQLSTATE.

This page is written by ` + "`topazrock codes`" + `; a test holds it against the code.
`

// WritePage writes the contents of docs/RESULT-CODES.md, generated from Table.
func WritePage(w io.Writer) error {
	var b strings.Builder
	b.WriteString(pageHeader)
	family := Family(0)
	for _, e := range Table {
		if f := e.Code.Family(); f != family {
			family = f
			fmt.Fprintf(&b, "\n## %s\n\n", f)
			b.WriteString("| number | SQLSTATE | name | meaning | what a caller does | retry |\n")
			b.WriteString("|---|---|---|---|---|---|\n")
		}
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s | %s |\n",
			e.Code, e.Code.SQLState(), e.Name, e.Meaning, e.Action, e.Retry)
	}
	_, err := io.WriteString(w, b.String())
	return err
}
