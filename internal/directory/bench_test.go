package directory

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/hashicorp/go-hclog"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/objectwatch"
	"github.com/topazrock/topazrock/internal/platform"
)

// BenchmarkChangeOfOneEntry applies a change of one member's entry in directories of several sizes.
func BenchmarkChangeOfOneEntry(b *testing.B) {
	for _, groups := range []int{100, 1000, 15000} {
		b.Run(fmt.Sprintf("%d groups", groups), func(b *testing.B) { benchmarkChange(b, groups) })
	}
}

func benchmarkChange(b *testing.B, groups int) {
	d := New(Config{Decoder: jsonDecoder{}, Clock: clock.System{}, Log: hclog.NewNullLogger()})
	var m Manifest
	for n := range groups {
		m.Groups = append(m.Groups, Group{Name: fmt.Sprint("g", n), MemberConnections: 42})
	}
	d.setManifest(m, platform.Object{}, objectwatch.OriginList)
	var all []platform.Object
	for n := range 3 * groups {
		value, _ := json.Marshal(platform.Upstream{ID: fmt.Sprint("m", n), Group: fmt.Sprint("g", n/3), Address: fmt.Sprint("10.0.0.", n), Slots: 3})
		all = append(all, platform.Object{Name: fmt.Sprint("m", n), Revision: platform.Revision(n), Value: value})
	}
	sink := upstreamSink{d}
	sink.ApplyList(all)
	b.ResetTimer()
	for n := range b.N {
		value, _ := json.Marshal(platform.Upstream{ID: "m7", Group: "g2", Address: "10.0.0.7", Slots: 3, Leaving: n%2 == 0})
		sink.ApplyChanges([]platform.Object{{Name: "m7", Revision: platform.Revision(1000000 + n), Value: value}})
	}
}
