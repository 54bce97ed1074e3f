package relaytree

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/platform"
)

func instances(n int) []platform.Instance {
	var list []platform.Instance
	for i := range n {
		list = append(list, platform.Instance{ID: fmt.Sprint(i), FailureDomain: "a"})
	}
	return append(list, platform.Instance{ID: "elsewhere", FailureDomain: "b"})
}

func TestEveryInstanceHasOneParent(t *testing.T) {
	for _, n := range []int{1, 2, 3, 4, 10, 100, 300} {
		is := is.New(t)
		all := instances(n)
		tree := New("a", all[:min(3, n)], all)
		parents := make(map[string]string)
		for _, i := range all {
			children := tree.Children("k", i.ID)
			is.True(len(children) <= Degree)
			for _, c := range children {
				is.Equal(parents[c.ID], "")
				parents[c.ID] = i.ID
				p, ok := tree.Parent("k", c.ID)
				is.True(ok)
				is.Equal(p.ID, i.ID)
			}
		}
		is.Equal(len(parents), max(0, n-3))
		for _, r := range tree.Relays() {
			_, ok := tree.Parent("k", r.ID)
			is.True(!ok)
		}
		_, ok := tree.Parent("k", "elsewhere")
		is.True(!ok)
	}
}
