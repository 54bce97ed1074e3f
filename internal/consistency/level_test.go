package consistency

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"
)

var levels = []Level{Primary(), Current(), WithinAge(time.Millisecond), WithinAge(1500 * time.Millisecond), WithinAge(1<<63 - 1)}

// Guards against a level that loses its promise on the way between two instances.
func TestLevelKeepsItsPromiseInTransit(t *testing.T) {
	is := is.New(t)
	for _, l := range append(levels, Level{}, WithinAge(0), WithinAge(-time.Second)) {
		text, err := json.Marshal(l)
		is.NoErr(err)
		var got Level
		is.NoErr(json.Unmarshal(text, &got))
		is.Equal(got, l)
	}
	for _, text := range []string{`""`, `"later level"`, `"5"`, `"Primary"`} {
		var got Level
		is.NoErr(json.Unmarshal([]byte(text), &got))
		is.Equal(got, Primary())
	}
}

// Guards against two levels of which the laxer one counts.
func TestStricterMeetsBothLevels(t *testing.T) {
	is := is.New(t)
	for i, strict := range levels {
		for _, lax := range levels[i:] {
			is.Equal(Stricter(strict, lax), strict)
			is.Equal(Stricter(lax, strict), strict)
		}
	}
}
