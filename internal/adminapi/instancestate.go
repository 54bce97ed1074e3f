package adminapi

import (
	"cmp"
	"net/http"
	"slices"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/topazrock/topazrock/internal/result"
)

func (s *Server) listGroups(w http.ResponseWriter, _ *http.Request) {
	if s.dependencies.Groups == nil {
		unavailable(w, "groups")
		return
	}
	writeJSON(w, http.StatusOK, s.groupViews())
}

func (s *Server) getGroup(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	for _, g := range s.groupViews() {
		if g.Name == name {
			writeJSON(w, http.StatusOK, g)
			return
		}
	}
	writeError(w, result.New(result.NotFound, "this instance follows no group %q", name))
}

// groupViews describes the groups that this instance monitors, ordered by name.
func (s *Server) groupViews() []GroupView {
	views := []GroupView{}
	if s.dependencies.Groups == nil {
		return views
	}
	now := s.clock.Now()
	for _, snapshot := range s.dependencies.Groups.Snapshots() {
		view := newGroupView(snapshot, now)
		s.addHealth(&view)
		views = append(views, view)
	}
	slices.SortFunc(views, func(a, b GroupView) int { return cmp.Compare(a.Name, b.Name) })
	return views
}

// addHealth adds the health of the members.
func (s *Server) addHealth(v *GroupView) {
	if s.dependencies.MemberHealth == nil {
		return
	}
	for i := range v.Members {
		v.Members[i].Health = s.dependencies.MemberHealth(v.Name, v.Members[i].Address)
	}
}

// poolViews describes the connection pools of this instance, ordered by group.
func (s *Server) poolViews() []PoolView {
	if s.dependencies.Pools == nil {
		return []PoolView{}
	}
	views := nonNil(s.dependencies.Pools.Pools())
	slices.SortFunc(views, func(a, b PoolView) int { return cmp.Compare(a.Group, b.Group) })
	return views
}

// workspaceViews describes the workspaces that are configured on this instance.
func (s *Server) workspaceViews() []WorkspaceView {
	if s.dependencies.Workspaces == nil {
		return []WorkspaceView{}
	}
	return nonNil(s.dependencies.Workspaces.Workspaces())
}

func (s *Server) listPools(w http.ResponseWriter, _ *http.Request) {
	if s.dependencies.Pools == nil {
		unavailable(w, "pools")
		return
	}
	writeJSON(w, http.StatusOK, s.poolViews())
}

func (s *Server) listPeers(w http.ResponseWriter, _ *http.Request) {
	if s.dependencies.Peers == nil {
		unavailable(w, "peers")
		return
	}
	writeJSON(w, http.StatusOK, nonNil(s.dependencies.Peers.Peers()))
}

func (s *Server) getStatus(w http.ResponseWriter, _ *http.Request) {
	v := StatusView{
		Instance:   s.dependencies.Identity,
		Readiness:  s.readiness(),
		Documents:  []DocumentInfo{},
		Groups:     s.groupViews(),
		Pools:      s.poolViews(),
		Workspaces: s.workspaceViews(),
		Peers:      []PeerView{},
	}
	if s.dependencies.Lifecycle != nil {
		v.Draining = s.dependencies.Lifecycle.Draining()
	}
	if s.dependencies.Documents != nil {
		v.Documents = nonNil(s.dependencies.Documents.List())
	}
	if s.dependencies.Peers != nil {
		v.Peers = nonNil(s.dependencies.Peers.Peers())
	}
	writeJSON(w, http.StatusOK, v)
}

func (s *Server) startDrain(w http.ResponseWriter, r *http.Request) {
	if s.dependencies.Lifecycle == nil {
		unavailable(w, "drains")
		return
	}
	s.log.Info("Drain requested.", "by", operatorName(r))
	s.dependencies.Lifecycle.Drain()
	writeJSON(w, http.StatusAccepted, DrainView{Draining: true})
}

// getHealth always reports success: a response shows that the process is alive.
func (s *Server) getHealth(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.dependencies.Identity)
}

// getReadiness reports to the load balancer whether this instance can accept callers.
func (s *Server) getReadiness(w http.ResponseWriter, _ *http.Request) {
	readiness := s.readiness()
	status := http.StatusOK
	if !readiness.Ready {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, readiness)
}

// readiness reports whether this instance can accept callers. It cannot while it
// starts or drains.
func (s *Server) readiness() Readiness {
	if s.dependencies.Lifecycle == nil {
		return Readiness{Reasons: []string{"starting"}}
	}
	ready, reasons := s.dependencies.Lifecycle.Ready()
	if s.dependencies.Lifecycle.Draining() {
		ready, reasons = false, []string{"draining"}
	}
	return Readiness{Ready: ready, Reasons: reasons}
}

func (s *Server) getMetrics(w http.ResponseWriter, r *http.Request) {
	if s.dependencies.Metrics == nil {
		unavailable(w, "metrics")
		return
	}
	promhttp.HandlerFor(s.dependencies.Metrics, promhttp.HandlerOpts{}).ServeHTTP(w, r)
}
