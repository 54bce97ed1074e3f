package result

import (
	"bytes"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strconv"
	"testing"

	"github.com/matryer/is"
)

// Callers are implemented against the page. If the meaning of a code changed but
// not the page, they could retry requests that must not be retried.
func TestPageMatchesTable(t *testing.T) {
	is := is.New(t)
	want, err := os.ReadFile("../../docs/RESULT-CODES.md")
	is.NoErr(err)
	var got bytes.Buffer
	is.NoErr(WritePage(&got))
	is.Equal(got.String(), string(want)) // run: go run ./cmd/topazrock codes > docs/RESULT-CODES.md
}

func TestEveryConstantIsInTable(t *testing.T) {
	is := is.New(t)
	file, err := parser.ParseFile(token.NewFileSet(), "code.go", nil, 0)
	is.NoErr(err)
	declared := 0
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if name, ok := spec.Type.(*ast.Ident); !ok || name.Name != "Code" {
			return true
		}
		number, err := strconv.Atoi(spec.Values[0].(*ast.BasicLit).Value)
		is.NoErr(err)
		if _, ok := Lookup(Code(number)); !ok {
			t.Errorf("%s (%d) is not in Table", spec.Names[0].Name, number)
		}
		declared++
		return false
	})
	is.Equal(declared, len(Table)) // one entry for each constant
}

func TestTableIsOrderedAndComplete(t *testing.T) {
	is := is.New(t)
	states := map[string]Code{}
	for i, e := range Table {
		if i > 0 && Table[i-1].Code >= e.Code {
			t.Errorf("%d comes after %d", e.Code, Table[i-1].Code)
		}
		is.True(e.Name != "" && e.Meaning != "" && e.Action != "")
		is.True(e.Code.Family() >= FamilyDidNotRun && e.Code.Family() <= FamilyAdmin)
		other, taken := states[e.Code.SQLState()]
		if taken {
			t.Errorf("%d and %d share SQLSTATE %s", other, e.Code, e.Code.SQLState())
		}
		states[e.Code.SQLState()] = e.Code
	}
}

// A caller that sees "yes" for an outcome-unknown code could repeat a payment that
// has already run. Only TombstoneFailed may allow a retry, because the request's
// key prevents a second run.
func TestOutcomeUnknownNeverAllowsPlainRetry(t *testing.T) {
	for _, e := range Table {
		if e.Code.Family() == FamilyOutcomeUnknown && e.Code != TombstoneFailed && e.Retry != RetryAfterCheck {
			t.Errorf("%d has an unknown outcome, but its retry condition is %q", e.Code, e.Retry)
		}
	}
}
