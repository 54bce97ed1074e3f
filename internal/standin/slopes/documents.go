package slopes

import (
	"context"
	"fmt"
	"runtime"
	"strings"

	"github.com/topazrock/topazrock/internal/document"
)

// measureDocuments parses an increasing number of documents and keeps the results.
func measureDocuments(_ context.Context, _ Options) ([]Slope, error) {
	var memoryUse, parsing []Point
	for _, n := range []int{500, 1000, 2000, 5000} {
		memoryBefore, cpuBefore := memoryInUse(), cpuTime()
		parsed := make([]*document.Service, n)
		for i := range parsed {
			s, err := document.Parse("measured", []byte(documentText(i)))
			if err != nil {
				return nil, err
			}
			parsed[i] = s
		}
		parsing = append(parsing, Point{float64(n), milliseconds(cpuTime() - cpuBefore)})
		memoryUse = append(memoryUse, Point{float64(n), memoryInUse() - memoryBefore})
		runtime.KeepAlive(parsed)
	}
	return []Slope{
		fitLine("documents", "bytes of memory, parsed", memoryUse),
		fitLine("documents", "ms to parse all", parsing),
	}, nil
}

// documentText returns a document similar to those in examples/, with three groups, one
// user and six request classes.
func documentText(i int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[service]\nname = service-%d\n", i)
	for g := range 3 {
		fmt.Fprintf(&b, "[group service-%d-%d]\nmembers = ", i, g)
		for m := range 3 {
			if m > 0 {
				b.WriteString(", ")
			}
			fmt.Fprintf(&b, "fd-%d/10.%d.%d.%d:5432", m, 10*g+m, i/250, i%250)
		}
		b.WriteString("\nconnections = 55\nslots = 5\n")
	}
	b.WriteString("[user app]\nverifier = " + measuredVerifier + "\n")
	b.WriteString("[limits]\nstatement_timeout = 10s\nrequest_timeout = 15s\nconfirm_timeout = 2s\nmax_queue = 100\n")
	for c := range 3 {
		fmt.Fprintf(&b, "[request change-%d]\nrepeat = never\npriority = %d\n", c, c+1)
		fmt.Fprintf(&b, "[read look-up-%d]\nmax_age = %ds\npriority = %d\n", c, 10*c, c+4)
	}
	return b.String()
}

// measuredVerifier is the SCRAM verifier of a password that is used nowhere else.
const measuredVerifier = "SCRAM-SHA-256$4096:y0dInoy2hw+boGs4hM65eQ==$" +
	"3SpBj+j6yTi73e/dAhqtXEWaTZOtGBZeNNnGI3sGNh8=:n+SNdInED24RgrJW/aqIICRzLDB52sPposD4v52R36w="
