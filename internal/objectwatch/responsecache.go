package objectwatch

import "github.com/topazrock/topazrock/internal/platform"

// maxCachedResponses is the number of encoded responses that a feed caches. All followers of a
// failure domain request the same one or two; encoding a large manifest for each of them would
// use a small machine's processor and memory for seconds.
const maxCachedResponses = 4

// responseKey identifies the content of a response: the changes between two revisions, or all
// objects if from is fullList, encoded against one version of an object or none.
type responseKey struct {
	from, to platform.Revision
	base     versionRef
}

// fullList is the from value of a response with all objects.
const fullList platform.Revision = -1

// responseCache holds the most recently encoded responses. It is guarded by feed.cacheMu.
type responseCache struct {
	keys    []responseKey
	encoded map[responseKey][]byte
}

// getOrEncode returns the cached response for key, or encodes the objects and caches the result.
func (c *responseCache) getOrEncode(key responseKey, objects []platform.Object, base []byte) ([]byte, error) {
	if cached, ok := c.encoded[key]; ok {
		return cached, nil
	}
	encoded, err := encodeObjects(objects, base)
	if err != nil {
		return nil, err
	}
	if c.encoded == nil {
		c.encoded = make(map[responseKey][]byte)
	}
	if len(c.keys) == maxCachedResponses {
		delete(c.encoded, c.keys[0])
		c.keys = c.keys[1:]
	}
	c.keys = append(c.keys, key)
	c.encoded[key] = encoded
	return encoded, nil
}
