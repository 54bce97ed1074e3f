// Package consistency defines what a read must see of the writes that were acknowledged before it.
//
// A Level is built once, where a configuration is decoded, and carries a single requirement: a level
// that must see all acknowledged writes has no maximum age, so that no reader can apply one to it.
package consistency

import "time"

// Level is what a read must see. The zero value is Current.
type Level struct {
	primary bool
	// maxAge is zero unless acknowledged writes may be missed.
	maxAge time.Duration
}

// Primary is the level of reads that run at the primary as long as there is one, and see every write
// that was acknowledged before them, wherever they run.
func Primary() Level { return Level{primary: true} }

// Current is the level of reads that see every write that was acknowledged before them, at any member.
func Current() Level { return Level{} }

// WithinAge is the level of reads that may miss writes that were acknowledged at most maxAge before
// them. It is Current if maxAge is not positive.
func WithinAge(maxAge time.Duration) Level { return Level{maxAge: max(0, maxAge)} }

// RunsAtPrimary reports whether reads of the level run at the primary as long as there is one.
func (l Level) RunsAtPrimary() bool { return l.primary }

// SeesAll reports whether reads of the level see every write that was acknowledged before them.
func (l Level) SeesAll() bool { return l.maxAge == 0 }

// MaxAge returns the maximum age of the data that reads of the level accept; zero if the level SeesAll.
func (l Level) MaxAge() time.Duration { return l.maxAge }

// Stricter returns the level that meets both of two levels.
func Stricter(a, b Level) Level {
	switch {
	case a.primary || b.primary:
		return Primary()
	case a.SeesAll() || b.SeesAll():
		return Current()
	default:
		return WithinAge(min(a.maxAge, b.maxAge))
	}
}

// Texts of the levels that have no age.
const (
	textPrimary = "primary"
	textCurrent = "current"
)

// MarshalText implements encoding.TextMarshaler.
func (l Level) MarshalText() ([]byte, error) {
	switch {
	case l.primary:
		return []byte(textPrimary), nil
	case l.SeesAll():
		return []byte(textCurrent), nil
	default:
		return []byte(l.maxAge.String()), nil
	}
}

// UnmarshalText implements encoding.TextUnmarshaler. It takes a text that it does not know, as of a later
// build, for the strictest level.
func (l *Level) UnmarshalText(text []byte) error {
	age, err := time.ParseDuration(string(text))
	switch {
	case string(text) == textCurrent:
		*l = Current()
	case err == nil:
		*l = WithinAge(age)
	default:
		*l = Primary()
	}
	return nil
}
