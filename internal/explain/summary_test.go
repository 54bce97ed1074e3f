package explain

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// 300 instances refuse requests for 40 seconds. The failure domain that is cut off at
// second 33 has the most refusals. The summary must fit on one screen and show when
// and where requests were refused and which state changes preceded the refusals.
func TestSummaryOfLargeDeploymentFitsScreen(t *testing.T) {
	is := is.New(t)
	var logs strings.Builder
	for i := range 300 {
		domain := fmt.Sprint("zone-", i%5)
		name := fmt.Sprint("edge-", i)
		fmt.Fprintf(&logs, "0.1 %s {\"@message\":\"Instance starts.\",\"failure_domain\":%q}\n", name, domain)
		for second := range 40 {
			code, count := "TZ1002", 1
			if second == 34 && domain == "zone-3" {
				code, count = "TZ1006", 20
			}
			for range count {
				fmt.Fprintf(&logs, "%d.5 %s {\"@message\":\"Request was refused.\",\"code\":%q,\"group\":\"g%d\",\"class\":\"c\",\"error\":\"x\"}\n", second, name, code, i%20)
			}
		}
		if domain == "zone-3" {
			fmt.Fprintf(&logs, "33.9 %s {\"@message\":\"Instance is cut off from most groups.\"}\n", name)
		}
	}
	r, err := Read(Filter{}, strings.NewReader(logs.String()))
	is.NoErr(err)
	s := r.Summary()
	is.Equal(s.Refusals, 300*40+60*19)
	is.Equal(s.FailureDomains[0], Count{"zone-3", 60*40 + 60*19})
	is.Equal(s.WorstSeconds[0].Second, 34)
	is.Equal(s.WorstSeconds[0].Codes[0], Count{"TZ1006", 1200})
	is.Equal(s.WorstSeconds[0].StateChanges[0], Count{"Instance is cut off from most groups.", 60})
	var text strings.Builder
	is.NoErr(r.WriteSummary(&text))
	lines := strings.Split(strings.TrimSpace(text.String()), "\n")
	is.True(len(lines) <= 24)
	for _, l := range lines {
		is.True(len(l) <= 160)
	}
	is.True(strings.Contains(text.String(), "by failure domain: 3540 zone-3; 2400 zone-0"))
}
