package session

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against serving repetitions before requests that can still meet their objective,
// and against treating new operations as repetitions.
func TestRepeatsCountFromTheFirstTry(t *testing.T) {
	is := is.New(t)
	var r RepeatDetector
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	begin := func(statement string, ms int) time.Duration {
		return r.BeginOperation([]byte(statement), at(ms), time.Second)
	}

	is.Equal(begin("a", 0), time.Duration(0))
	r.RecordRefusal(at(100))
	is.Equal(begin("a", 180), 180*time.Millisecond)
	r.RecordRefusal(at(400))
	is.Equal(begin("a", 500), 500*time.Millisecond)
	// The operation succeeded, so the same statement is a new operation.
	is.Equal(begin("a", 600), time.Duration(0))
	r.RecordRefusal(at(700))
	is.Equal(begin("b", 800), time.Duration(0))
	// A different operation came in between.
	is.Equal(begin("a", 900), time.Duration(0))
	r.RecordRefusal(at(1000))
	// The pause is too long for a repetition.
	is.Equal(begin("a", 3100), time.Duration(0))
	for ms := 3200; ms <= 7000; ms += 100 {
		r.RecordRefusal(at(ms))
		is.Equal(begin("a", ms+50), time.Duration(ms+50-3100)*time.Millisecond)
	}
	// The caller cannot have retried the operation for that long.
	r.RecordRefusal(at(7100))
	is.Equal(begin("a", 7150), time.Duration(0))
}
