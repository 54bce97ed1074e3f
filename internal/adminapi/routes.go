package adminapi

import (
	"net/http"

	"github.com/topazrock/topazrock/internal/result"
)

// route is one operation of the API. docs/api/openapi.yaml lists the same ones.
type route struct {
	method, path string
	// changes says that the call needs the access token.
	changes bool
	handle  http.HandlerFunc
}

// routes lists the operations.
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
		{"GET", "/v1/status", false, s.status},
		{"POST", "/v1/drain", true, s.drain},
		{"GET", "/healthz", false, s.health},
		{"GET", "/readyz", false, s.ready},
		{"GET", "/metrics", false, s.metrics},
	}
}

// notFound answers for paths and methods outside of the routes.
func notFound(w http.ResponseWriter, r *http.Request) {
	writeError(w, result.New(result.NotFound, "no operation %s %s", r.Method, r.URL.Path))
}

// unavailable answers for a part that is not running on this instance.
func unavailable(w http.ResponseWriter, part string) {
	writeError(w, result.New(result.NotReady, "%s are not available on this instance", part))
}
