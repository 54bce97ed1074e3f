package peer

import "encoding/json"

// answer decodes the result of a call and tells how many bytes it had.
type answer struct {
	into any
	size int
}

// UnmarshalJSON implements json.Unmarshaler.
func (a *answer) UnmarshalJSON(text []byte) error {
	a.size = len(text)
	if a.into == nil {
		return nil
	}
	return json.Unmarshal(text, a.into)
}
