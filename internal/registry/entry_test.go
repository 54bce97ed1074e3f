package registry

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/topazrock/topazrock/internal/objectwatch"
	"github.com/topazrock/topazrock/internal/platform"
)

// listedInstances records the instances that a Registry lists.
type listedInstances struct{ ids string }

// SetInstances implements InstanceSink.
func (l *listedInstances) SetInstances(all []platform.Instance) {
	l.ids = ""
	for _, i := range all {
		l.ids += i.ID + " "
	}
}

func entryObject(name, value string, revision int64) platform.Object {
	return platform.Object{Kind: platform.KindInstances, Name: name, Value: []byte(value), Revision: platform.NewRevision(1, revision)}
}

func soundEntry(id string) string {
	return fmt.Sprintf(`{"id":%q,"failure_domain":"a","peer_address":"10.0.0.1:7432","capacity":0.5}`, id)
}

// unusableObjects returns how many unusable objects were counted.
func unusableObjects(is *is.I, r *prometheus.Registry) float64 {
	families, err := r.Gather()
	is.NoErr(err)
	for _, f := range families {
		if f.GetName() == "topazrock_watch_unusable_objects_total" {
			return f.GetMetric()[0].GetCounter().GetValue()
		}
	}
	return 0
}

// Guards against an entry of another writer that counts as an instance, hides one, or is logged at each list.
func TestOddEntryIsNoInstance(t *testing.T) {
	for _, odd := range []string{
		"", "null", "7", "[]", "{}", "nonsense", `{"id":7}`, soundEntry("x"), `{"id":"","peer_address":"10.0.0.1:7432"}`,
		`{"id":"b"}`, `{"id":"b","peer_address":7}`,
		`{"id":"b","peer_address":"10.0.0.1:7432","capacity":-1}`, `{"id":"b","peer_address":"10.0.0.1:7432","capacity":1e300}`,
		`{"id":"b","peer_address":"10.0.0.1:7432","capacity":1e400}`, `{"id":"b","peer_address":"10.0.0.1:7432","leaving":"no"}`,
	} {
		t.Run(odd, func(t *testing.T) {
			is := is.New(t)
			var log bytes.Buffer
			listed := &listedInstances{}
			metrics := prometheus.NewRegistry()
			r := New(Config{Self: platform.Instance{ID: "a"}, InstanceSink: listed, WatchMetrics: objectwatch.NewMetrics(metrics),
				Log: hclog.New(&hclog.LoggerOptions{Output: &log})})
			for range 3 {
				r.ApplyList([]platform.Object{entryObject("b", odd, 2), entryObject("", odd, 3), entryObject("c", soundEntry("c"), 4)})
				is.Equal(listed.ids, "c ")
			}
			is.Equal(strings.Count(log.String(), "cannot be used"), 2)
			r.ApplyChanges([]platform.Object{entryObject("b", odd, 5)})
			is.Equal(strings.Count(log.String(), "cannot be used"), 3)
			is.Equal(unusableObjects(is, metrics), 3.0)
			r.ApplyChanges([]platform.Object{entryObject("b", soundEntry("b"), 6)})
			is.Equal(listed.ids, "b c ")
			// An instance that is known stays so until its entry is removed.
			r.ApplyChanges([]platform.Object{entryObject("b", odd, 7)})
			is.Equal(listed.ids, "b c ")
			r.ApplyChanges([]platform.Object{{Kind: platform.KindInstances, Name: "b", Removed: true}})
			is.Equal(listed.ids, "c ")
		})
	}
}
