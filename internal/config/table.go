package config

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// bucketCount is the number of buckets in a digest. With 5,000 documents a
// bucket contains about 80 names, which keeps the comparison of one bucket
// small.
const bucketCount = 64

// bucketSums holds one checksum for each bucket of documents.
type bucketSums [bucketCount]uint64

// rootSum returns one checksum over all buckets.
func (s *bucketSums) rootSum() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, sum := range s {
		d.WriteString(strconv.FormatUint(sum, 16))
		d.WriteString(",")
	}
	return d.Sum64()
}

// documentTable holds the current documents and data derived from them.
type documentTable struct {
	documents map[string]Applied
	// owners maps a group to the sorted names of the documents that declare it.
	// There is one unless two operators declared the same group concurrently;
	// in that case the first name is the owner on every instance.
	owners map[string][]string
	sums   bucketSums
}

func newTable() documentTable {
	return documentTable{documents: make(map[string]Applied), owners: make(map[string][]string)}
}

// putDocument adds or replaces a document.
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
