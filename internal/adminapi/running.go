package adminapi

import (
	"cmp"
	"net/http"
	"slices"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/topazrock/topazrock/internal/result"
)

func (s *Server) listGroups(w http.ResponseWriter, _ *http.Request) {
	if s.parts.Groups == nil {
		unavailable(w, "groups")
		return
	}
	writeJSON(w, http.StatusOK, s.groups())
}

func (s *Server) getGroup(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	for _, g := range s.groups() {
		if g.Name == name {
			writeJSON(w, http.StatusOK, g)
			return
		}
	}
	writeError(w, result.New(result.NotFound, "this instance follows no group %q", name))
}

// groups describes the groups that this instance follows.
func (s *Server) groups() []GroupView {
	views := []GroupView{}
	if s.parts.Groups == nil {
		return views
	}
	now := s.clock.Now()
	for _, snapshot := range s.parts.Groups.Snapshots() {
		views = append(views, viewGroup(snapshot, now))
	}
	slices.SortFunc(views, func(a, b GroupView) int { return cmp.Compare(a.Name, b.Name) })
	return views
}

// pools describes the connection pools of this instance.
func (s *Server) pools() []PoolView {
	if s.parts.Pools == nil {
		return []PoolView{}
	}
	views := orEmpty(s.parts.Pools.Pools())
	slices.SortFunc(views, func(a, b PoolView) int { return cmp.Compare(a.Group, b.Group) })
	return views
}

// workspaces describes the workspaces in force.
func (s *Server) workspaces() []WorkspaceView {
	if s.parts.Workspaces == nil {
		return []WorkspaceView{}
	}
	return orEmpty(s.parts.Workspaces.Workspaces())
}

func (s *Server) listPools(w http.ResponseWriter, _ *http.Request) {
	if s.parts.Pools == nil {
		unavailable(w, "pools")
		return
	}
	writeJSON(w, http.StatusOK, s.pools())
}

func (s *Server) listPeers(w http.ResponseWriter, _ *http.Request) {
	if s.parts.Peers == nil {
		unavailable(w, "peers")
		return
	}
	writeJSON(w, http.StatusOK, orEmpty(s.parts.Peers.Peers()))
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	v := StatusView{
		Instance:   s.parts.Identity,
		Readiness:  s.readiness(),
		Documents:  []DocumentInfo{},
		Groups:     s.groups(),
		Pools:      s.pools(),
		Workspaces: s.workspaces(),
		Peers:      []PeerView{},
	}
	if s.parts.Lifecycle != nil {
		v.Draining = s.parts.Lifecycle.Draining()
	}
	if s.parts.Documents != nil {
		v.Documents = orEmpty(s.parts.Documents.List())
	}
	if s.parts.Peers != nil {
		v.Peers = orEmpty(s.parts.Peers.Peers())
	}
	writeJSON(w, http.StatusOK, v)
}

func (s *Server) drain(w http.ResponseWriter, r *http.Request) {
	if s.parts.Lifecycle == nil {
		unavailable(w, "drains")
		return
	}
	s.log.Info("drain asked for", "by", operator(r))
	s.parts.Lifecycle.Drain()
	writeJSON(w, http.StatusAccepted, DrainView{Draining: true})
}

// health answers while the process can answer at all.
func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.parts.Identity)
}

// ready tells the balancer whether callers may be sent here.
func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	readiness := s.readiness()
	status := http.StatusOK
	if !readiness.Ready {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, readiness)
}

// readiness returns the instance's own verdict.
func (s *Server) readiness() Readiness {
	if s.parts.Lifecycle == nil {
		return Readiness{Reasons: []string{"starting"}}
	}
	ready, reasons := s.parts.Lifecycle.Ready()
	if s.parts.Lifecycle.Draining() {
		ready, reasons = false, []string{"draining"}
	}
	return Readiness{Ready: ready, Reasons: reasons}
}

func (s *Server) metrics(w http.ResponseWriter, r *http.Request) {
	if s.parts.Metrics == nil {
		unavailable(w, "metrics")
		return
	}
	promhttp.HandlerFor(s.parts.Metrics, promhttp.HandlerOpts{}).ServeHTTP(w, r)
}
