package consul

import (
	"fmt"
	"net/http"
	"strings"
)

// routes returns the handler of all API paths.
func (s *Server) routes() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/health/service/{name}", s.health)
	m.HandleFunc("GET /v1/health/state/{state}", s.checksInState)
	m.HandleFunc("GET /v1/catalog/service/{name}", s.catalog)
	m.HandleFunc("GET /v1/status/leader", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintf(w, "%q", s.Addr) })
	m.HandleFunc("PUT /v1/catalog/register", s.catalogRegister)
	m.HandleFunc("PUT /v1/catalog/deregister", s.catalogDeregister)
	m.HandleFunc("PUT /v1/agent/service/register", s.agentRegister)
	m.HandleFunc("PUT /v1/agent/service/deregister/{id}", func(w http.ResponseWriter, r *http.Request) {
		if !s.Deregister(AgentNode, r.PathValue("id")) {
			replyUnknown(w)
		}
	})
	m.HandleFunc("PUT /v1/agent/service/maintenance/{id}", func(w http.ResponseWriter, r *http.Request) {
		s.maintenance(w, r, r.PathValue("id"))
	})
	m.HandleFunc("PUT /v1/agent/maintenance", func(w http.ResponseWriter, r *http.Request) { s.maintenance(w, r, "") })
	for verb, status := range map[string]string{"pass": passing, "warn": warning, "fail": critical} {
		m.HandleFunc("PUT /v1/agent/check/"+verb+"/{id}", func(w http.ResponseWriter, r *http.Request) {
			if !s.SetStatus(AgentNode, r.PathValue("id"), status, r.URL.Query().Get("note")) {
				replyUnknown(w)
			}
		})
	}
	m.HandleFunc("PUT /v1/agent/check/update/{id}", s.updateCheck)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		allowed := s.allowed(r)
		s.mu.Unlock()
		if !allowed {
			http.Error(w, "Permission denied", http.StatusForbidden)
			return
		}
		m.ServeHTTP(w, r)
	})
}

// allowed reports whether a request has a valid token or needs none. The caller must hold mu.
func (s *Server) allowed(r *http.Request) bool {
	token := r.Header.Get("X-Consul-Token")
	if token == "" {
		token = strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	}
	return s.tokens == nil || s.tokens[token]
}

// replyUnknown answers that the service or check is unknown.
func replyUnknown(w http.ResponseWriter) {
	http.Error(w, "Unknown service or check", http.StatusNotFound)
}
