package adminapi

import (
	"net/http"

	"github.com/topazrock/topazrock/internal/result"
)

// route is one operation of the API. docs/api/openapi.yaml must list the same
// operations.
type route struct {
	method, path string
	// mutating is true if the operation requires the access token.
	mutating bool
	handler  http.HandlerFunc
}

// routes returns all operations of the API.
func (s *Server) routes() []route {
	return []route{
		{"GET", "/v1/services", false, s.listDocuments},
		{"GET", "/v1/services/{name}", false, s.getDocument},
		{"PUT", "/v1/services/{name}", true, s.applyDocument},
		{"POST", "/v1/services/{name}/check", false, s.checkDocument},
		{"GET", "/v1/services/{name}/history", false, s.documentHistory},
		{"GET", "/v1/services/{name}/versions", false, s.documentVersions},
		{"GET", "/v1/groups", false, s.listGroups},
		{"GET", "/v1/groups/{name}", false, s.getGroup},
		{"GET", "/v1/pools", false, s.listPools},
		{"GET", "/v1/peers", false, s.listPeers},
		{"GET", "/v1/status", false, s.getStatus},
		{"POST", "/v1/drain", true, s.startDrain},
		{"GET", "/healthz", false, s.getHealth},
		{"GET", "/readyz", false, s.getReadiness},
		{"GET", "/metrics", false, s.getMetrics},
	}
}

// notFound handles requests that match no route.
func notFound(w http.ResponseWriter, r *http.Request) {
	writeError(w, result.New(result.NotFound, "no operation %s %s", r.Method, r.URL.Path))
}

// unavailable responds with result.NotReady for a component that is not running
// on this instance.
func unavailable(w http.ResponseWriter, dependency string) {
	writeError(w, result.New(result.NotReady, "%s are not available on this instance", dependency))
}
