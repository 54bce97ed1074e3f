package directory

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/hashicorp/go-hclog"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/platform"
)

// BenchmarkChangeOfOneEntry applies a change of one member's entry in a directory of 600
// groups.
func BenchmarkChangeOfOneEntry(b *testing.B) {
	d := New(Config{Decoder: jsonDecoder{}, Clock: clock.System{}, Log: hclog.NewNullLogger()})
	for n := range 600 {
		d.manifest.Groups = append(d.manifest.Groups, Group{Name: fmt.Sprint("g", n), MemberConnections: 42})
	}
	var all []platform.Object
	for n := range 1800 {
		value, _ := json.Marshal(platform.Upstream{ID: fmt.Sprint("m", n), Group: fmt.Sprint("g", n/3), Address: fmt.Sprint("10.0.0.", n), Slots: 3})
		all = append(all, platform.Object{Name: fmt.Sprint("m", n), Revision: platform.Revision(n), Value: value})
	}
	sink := upstreamSink{d}
	sink.ApplyList(all)
	b.ResetTimer()
	for n := range b.N {
		value, _ := json.Marshal(platform.Upstream{ID: "m7", Group: "g2", Address: "10.0.0.7", Slots: 3, Leaving: n%2 == 0})
		sink.ApplyChanges([]platform.Object{{Name: "m7", Revision: platform.Revision(2000 + n), Value: value}})
	}
}
