package peer

import "encoding/json"

// sizedReply decodes the result of a call and records its size in bytes.
type sizedReply struct {
	target any
	size   int
}

// UnmarshalJSON implements json.Unmarshaler.
func (r *sizedReply) UnmarshalJSON(text []byte) error {
	r.size = len(text)
	if r.target == nil {
		return nil
	}
	return json.Unmarshal(text, r.target)
}
