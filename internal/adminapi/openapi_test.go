package adminapi

import (
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"gopkg.in/yaml.v3"
)

// openAPIDocument is the part of docs/api/openapi.yaml that is compared with the
// code.
type openAPIDocument struct {
	Paths map[string]map[string]struct {
		Security []any `yaml:"security"`
	} `yaml:"paths"`
	Components struct {
		Schemas map[string]struct {
			Properties map[string]any `yaml:"properties"`
		} `yaml:"schemas"`
	} `yaml:"components"`
}

func readOpenAPIDocument(t *testing.T) openAPIDocument {
	t.Helper()
	is := is.New(t)
	text, err := os.ReadFile("../../docs/api/openapi.yaml")
	is.NoErr(err)
	var d openAPIDocument
	is.NoErr(yaml.Unmarshal(text, &d))
	return d
}

func TestOpenAPIListsRoutes(t *testing.T) {
	is := is.New(t)
	var described, served []string
	for path, operations := range readOpenAPIDocument(t).Paths {
		for method, operation := range operations {
			described = append(described, operationLine(method, path, len(operation.Security) > 0))
		}
	}
	for _, r := range (&Server{}).routes() {
		served = append(served, operationLine(r.method, r.path, r.mutating))
	}
	slices.Sort(described)
	slices.Sort(served)
	is.Equal(strings.Join(described, "\n"), strings.Join(served, "\n"))
}

func operationLine(method, path string, mutating bool) string {
	line := strings.ToUpper(method) + " " + path
	if mutating {
		line += " needs the token"
	}
	return line
}

func TestOpenAPIListsFields(t *testing.T) {
	is := is.New(t)
	bodies := []any{
		Identity{}, DocumentInfo{}, Document{}, Change{}, Outcome{}, InstanceVersion{}, GroupView{}, MemberView{},
		PoolView{}, WorkspaceView{}, PeerView{}, Readiness{}, DrainView{}, StatusView{}, Problem{},
	}
	schemas := readOpenAPIDocument(t).Components.Schemas
	is.Equal(len(schemas), len(bodies))
	for _, body := range bodies {
		kind := reflect.TypeOf(body)
		var fields, properties []string
		for field := range kind.Fields() {
			name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
			fields = append(fields, name)
		}
		for name := range schemas[kind.Name()].Properties {
			properties = append(properties, name)
		}
		slices.Sort(fields)
		slices.Sort(properties)
		is.Equal(fields, properties) // schema of kind.Name()
	}
}
