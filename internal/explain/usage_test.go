package explain

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a fleet whose logs do not show which instance and which message are expensive.
func TestUsageIsSummedUpByInstanceAndByName(t *testing.T) {
	is := is.New(t)
	logs := `1.0 i1 {"@message":"Usage of the last interval.","roles":"reader","cpu_ms":700,"heap_kb":900,"calls":"a 3; b 1"}
1.0 i2 {"@message":"Usage of the last interval.","roles":"home of 2","cpu_ms":100,"heap_kb":500,"calls":"a 4; bad; c x"}
{"@message":"Usage of the last interval.","instance":"i1","roles":"reader","cpu_ms":100,"heap_kb":800}
`
	r, err := Read(Filter{}, strings.NewReader(logs))
	is.NoErr(err)
	is.Equal(r.Usage.Instances[0], InstanceUsage{Instance: "i1", Roles: "reader", ProcessorMS: 800, HeapKB: 900})
	is.Equal(r.Usage.Instances[1].Instance, "i2")
	is.Equal(r.Usage.Counts["calls"], counter{"a": 7, "b": 1})
	var text strings.Builder
	is.NoErr(r.WriteSummary(&text))
	is.True(strings.Contains(text.String(), "i1: 800 ms, heap 900 kB, reader"))
}
