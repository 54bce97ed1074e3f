package directory

import "github.com/topazrock/topazrock/internal/document"

// manifestIndex finds what a manifest says of a group.
type manifestIndex struct {
	groups      map[string]Group
	readClasses map[string][]document.ReadClass
}

func newManifestIndex(m Manifest) manifestIndex {
	x := manifestIndex{groups: make(map[string]Group, len(m.Groups)), readClasses: make(map[string][]document.ReadClass, len(m.Groups))}
	for _, g := range m.Groups {
		x.groups[g.Name] = g
	}
	for _, b := range m.Databases {
		x.readClasses[b.Group] = append(x.readClasses[b.Group], b.Class)
	}
	return x
}
