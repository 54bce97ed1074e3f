package instance

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var matrixWrite = flag.Bool("matrix.write", false, "write docs/FAULT-MATRIX.md from this run")

const (
	matrixPage = "../../docs/FAULT-MATRIX.md"
	// tableMarker is the line in the page where the generated table begins; the text
	// before it is written by hand.
	tableMarker = "<!-- the table below is written by the run -->\n"
)

// matrixTable renders the results with faults as rows and steps as columns.
func matrixTable(cells map[string]cellResult) string {
	var out strings.Builder
	out.WriteString(tableMarker + "\n| step | flow | point |\n| --- | --- | --- |\n")
	for i, s := range allSteps {
		fmt.Fprintf(&out, "| %d | %s | %s |\n", i+1, s.flow, s.name)
	}
	out.WriteString("\n| fault |")
	for i := range allSteps {
		fmt.Fprintf(&out, " %d |", i+1)
	}
	out.WriteString("\n| --- |" + strings.Repeat(" --- |", len(allSteps)) + "\n")
	counts := make(map[string]int)
	for _, f := range allFaults {
		fmt.Fprintf(&out, "| %s |", f.name)
		for _, s := range allSteps {
			status := cells[cellName(f, s)].status()
			counts[status]++
			fmt.Fprintf(&out, " %s |", status)
		}
		out.WriteString("\n")
	}
	fmt.Fprintf(&out, "\n%d cells: %d hold, %d not run, %d known red.\n",
		len(allFaults)*len(allSteps), counts["holds"], counts["not run"], counts["RED"])
	return out.String()
}

// checkMatrixPage compares the results with the page, or updates the page.
func checkMatrixPage(t *testing.T, cells map[string]cellResult) {
	is := is.New(t)
	page, err := os.ReadFile(matrixPage)
	is.NoErr(err)
	head, _, found := strings.Cut(string(page), tableMarker)
	is.True(found)
	table := matrixTable(cells)
	if *matrixWrite {
		is.NoErr(os.WriteFile(matrixPage, []byte(head+table), 0o644))
		return
	}
	if string(page) != head+table {
		t.Errorf("docs/FAULT-MATRIX.md and the run disagree; see the cells above, or write the page with -matrix.write")
	}
}

// The page names, for each guarantee, the test that fails when its mechanism is removed.
// Every test it names must exist in the repository.
func TestPageNamesTestsThatExist(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile(matrixPage)
	is.NoErr(err)
	var sources strings.Builder
	for _, pattern := range []string{"../*/*_test.go", "../../cmd/*/*_test.go", "../../platform/*_test.go"} {
		files, err := filepath.Glob(pattern)
		is.NoErr(err)
		for _, f := range files {
			text, err := os.ReadFile(f)
			is.NoErr(err)
			sources.Write(text)
		}
	}
	for _, name := range regexp.MustCompile("`(Test[A-Za-z]+)`").FindAllStringSubmatch(string(page), -1) {
		if !strings.Contains(sources.String(), "func "+name[1]+"(") {
			t.Errorf("the page names %s, which does not exist", name[1])
		}
	}
}
