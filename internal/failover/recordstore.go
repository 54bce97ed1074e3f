package failover

import (
	"context"
	"errors"

	"github.com/topazrock/topazrock/internal/platform"
)

// readRecord returns the group's record and the version of its object. If the object does not
// exist yet, the record is zero and the version has the number zero. An object that cannot be
// decoded is an unreadable record, which the next claim replaces once it has expired.
func (c *Claimer) readRecord(ctx context.Context) (Record, platform.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Settings.PlatformTimeout)
	defer cancel()
	o, err := c.Platform.Get(ctx, platform.KindGroup, c.Group)
	if errors.Is(err, platform.ErrNotFound) {
		return Record{}, platform.NewRevision(c.Platform.Eras().Latest(), 0), nil
	}
	if err != nil {
		return Record{}, 0, err
	}
	r, err := decodeRecord(o.Value)
	if err != nil {
		c.reportUnreadable(o.Version, err)
		return unreadableRecord(o.Version), o.Version, nil
	}
	return r, o.Version, nil
}

// storeRecord stores r in place of the record of the given version.
func (c *Claimer) storeRecord(ctx context.Context, r Record, version platform.Revision) (platform.Object, error) {
	value, err := r.encode()
	if err != nil {
		return platform.Object{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Settings.PlatformTimeout)
	defer cancel()
	return c.Platform.Put(ctx, platform.KindGroup, c.Group, value, version)
}

// reportUnreadable logs and counts a version of the record that cannot be decoded, once.
func (c *Claimer) reportUnreadable(version platform.Revision, reason error) {
	if c.reportedUnreadable.Swap(int64(version)) == int64(version) {
		return
	}
	c.Metrics.unreadable.Inc()
	c.log.Warn("The group's record cannot be read; it is treated as a pending claim.", "version", version.Number(), "error", reason)
}
