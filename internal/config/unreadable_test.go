package config

import (
	"errors"
	"testing"

	"github.com/topazrock/topazrock/internal/platform"
)

// Guards against a stored document that cannot be read and is taken for an empty one of a very high version,
// after which no later version of the document is adopted.
func TestValueThatCannotBeReadIsNoDocument(t *testing.T) {
	for _, value := range []string{"", " \n", `{"version":-1}`, `{"version":1e99}`, `{`} {
		if e, err := decodeObject(platform.Object{Name: "s", Version: platform.NewRevision(1, 7), Value: []byte(value)}); !errors.Is(err, errBadEnvelope) {
			t.Errorf("%q: %+v, %v", value, e, err)
		}
	}
}
