package slopes

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/document"
)

func TestFitFindsTheLine(t *testing.T) {
	is := is.New(t)
	exact := fitLine("x", "y", []Point{{1, 5}, {2, 7}, {4, 11}})
	is.True(math.Abs(exact.PerUnit-2) < 1e-9)
	is.True(math.Abs(exact.Intercept-3) < 1e-9)
	is.True(exact.Residual < 1e-9)
	bent := fitLine("x", "y", []Point{{1, 0}, {2, 3}, {3, 0}})
	is.True(math.Abs(bent.PerUnit) < 1e-9)
	is.True(math.Abs(bent.Residual-math.Sqrt2) < 1e-9)
}

func TestMeasuredDocumentIsValid(t *testing.T) {
	is := is.New(t)
	s, err := document.Parse("measured", []byte(documentText(4999)))
	is.NoErr(err)
	is.Equal(len(s.Groups), 3)
}
