package objectwatch

import "github.com/topazrock/topazrock/internal/platform"

// keptPacks is how many answers a feed keeps packed. All followers of a failure domain ask for
// the same one or two; packed for each of them, a large manifest would take a small machine's
// processor and memory for seconds.
const keptPacks = 4

// packKey says what an answer holds: the changes from a revision to another, or, where from is
// negative, all objects, packed against one version of an object or none.
type packKey struct {
	from, to int64
	base     baseRef
}

// wholeList is the from of an answer that holds all objects.
const wholeList = -1

// packs are the answers that were packed last. It is guarded by feed.packing.
type packs struct {
	keys  []packKey
	bytes map[packKey][]byte
}

// get returns an answer that was packed before, or packs it.
func (p *packs) get(k packKey, objects []platform.Object, base []byte) ([]byte, error) {
	if held, ok := p.bytes[k]; ok {
		return held, nil
	}
	packed, err := pack(objects, base)
	if err != nil {
		return nil, err
	}
	if p.bytes == nil {
		p.bytes = make(map[packKey][]byte)
	}
	if len(p.keys) == keptPacks {
		delete(p.bytes, p.keys[0])
		p.keys = p.keys[1:]
	}
	p.keys = append(p.keys, k)
	p.bytes[k] = packed
	return packed, nil
}
