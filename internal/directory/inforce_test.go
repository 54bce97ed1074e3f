package directory

import (
	"encoding/json"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/objectwatch"
	"github.com/topazrock/topazrock/internal/platform"
)

// countingDecoder counts the manifests that it decodes.
type countingDecoder struct {
	jsonDecoder
	manifests *int
}

// DecodeManifest implements Decoder.
func (d countingDecoder) DecodeManifest(o platform.Object) (Manifest, error) {
	*d.manifests++
	return d.jsonDecoder.DecodeManifest(o)
}

// Guards against a reader that decodes a large manifest at each check although it is in force.
func TestManifestInForceIsNotDecodedAgain(t *testing.T) {
	is := is.New(t)
	decoded := 0
	d := New(Config{Decoder: countingDecoder{manifests: &decoded}, Clock: clock.System{}, Log: hclog.NewNullLogger()})
	value, err := json.Marshal(Manifest{Version: 7})
	is.NoErr(err)
	o := platform.Object{Name: platform.ManifestName, Revision: 5, Value: value}
	for range 3 {
		d.applyManifest(o, objectwatch.OriginList)
	}
	is.Equal(decoded, 1)
	// One that another instance passed on has no revision and is compared by its version.
	o.Revision = 0
	d.applyManifest(o, objectwatch.OriginList)
	is.Equal(decoded, 2)
}
