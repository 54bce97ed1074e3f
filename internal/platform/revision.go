package platform

import "fmt"

// numberBits is the size of a revision's number in bits. The bits above it hold the era.
const numberBits = 40

// maxEra is the highest era that a revision can hold.
const maxEra = 1<<(63-numberBits) - 1

// ValidEra reports whether a number can be an era of the store.
func ValidEra(era int64) bool { return era >= 0 && era <= maxEra }

// Revision identifies a state of the platform's store: its era, and the number of the last change
// in that era. Numbers are given out again in a later era, so they are comparable only together
// with their eras. Revisions are ordered: every revision of an era is lower than those of the
// next era. Zero is no revision.
type Revision int64

// NewRevision returns the revision with a number in an era.
func NewRevision(era, number int64) Revision { return Revision(era<<numberBits | number) }

// Era returns the era of the store. It is zero for a store that does not report eras.
func (r Revision) Era() int64 { return int64(r) >> numberBits }

// Number returns the number within the era.
func (r Revision) Number() int64 { return int64(r) & (1<<numberBits - 1) }

// String implements fmt.Stringer.
func (r Revision) String() string { return fmt.Sprintf("%d/%d", r.Era(), r.Number()) }
