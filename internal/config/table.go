package config

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// bucketCount is how many parts a digest is made of. With 5,000 documents a
// part holds about 80 names, which keeps a comparison of one part small.
const bucketCount = 64

// sums holds one sum for each part of the documents.
type bucketSums [bucketCount]uint64

// root returns one sum over all parts.
func (s *bucketSums) rootSum() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, sum := range s {
		d.WriteString(strconv.FormatUint(sum, 16))
		d.WriteString(",")
	}
	return d.Sum64()
}

// table holds the documents in force with what is derived from them.
type documentTable struct {
	documents map[string]Applied
	// owners maps a group to the names of the documents that declare it, in
	// order. There is one unless two operators claimed a group at one moment;
	// then the first name counts on every instance.
	owners map[string][]string
	sums   bucketSums
}

func newTable() documentTable {
	return documentTable{documents: make(map[string]Applied), owners: make(map[string][]string)}
}

// put replaces a document.
func (t *documentTable) putDocument(a Applied) {
	bucket := bucketOf(a.Name)
	if old, ok := t.documents[a.Name]; ok {
		t.sums[bucket] ^= documentSum(old)
		t.removeOwner(old)
	}
	t.sums[bucket] ^= documentSum(a)
	t.documents[a.Name] = a
	for _, g := range a.Service.Groups {
		i, _ := slices.BinarySearch(t.owners[g.Name], a.Name)
		t.owners[g.Name] = slices.Insert(t.owners[g.Name], i, a.Name)
	}
}

func (t *documentTable) removeOwner(a Applied) {
	for _, g := range a.Service.Groups {
		remaining := slices.DeleteFunc(t.owners[g.Name], func(name string) bool { return name == a.Name })
		if len(remaining) == 0 {
			delete(t.owners, g.Name)
			continue
		}
		t.owners[g.Name] = remaining
	}
}

func bucketOf(name string) int { return int(xxhash.Sum64String(name) % bucketCount) }

func documentSum(a Applied) uint64 {
	return xxhash.Sum64String(a.Name + "\x00" + strconv.FormatInt(a.Version, 10) + "\x00" + a.ID)
}
