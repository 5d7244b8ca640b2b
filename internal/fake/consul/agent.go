package consul

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// agentService is the body of PUT /v1/agent/service/register.
type agentService struct {
	ID, Name, Address string
	Port              int
	Tags              []string
	Meta              map[string]string
	Weights           *Weights
	Check             *agentCheck
	Checks            []agentCheck
}

// agentCheck defines a check. TTL is a duration such as "10s", or empty.
type agentCheck struct{ CheckID, Name, TTL, Status string }

// agentRegister handles PUT /v1/agent/service/register.
func (s *Server) agentRegister(w http.ResponseWriter, r *http.Request) {
	var body agentService
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	checks, err := body.checks()
	if err != nil {
		http.Error(w, "Invalid TTL", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	node := s.nodes[AgentNode]
	s.mu.Unlock()
	s.Register(node, body.service(), checks...)
}

// id returns the id of the service; a service without an id is identified by its name.
func (a *agentService) id() string {
	if a.ID == "" {
		return a.Name
	}
	return a.ID
}

func (a *agentService) service() Service {
	v := Service{ID: a.id(), Service: a.Name, Tags: a.Tags, Address: a.Address, Port: a.Port, Meta: a.Meta}
	if a.Weights != nil {
		v.Weights = *a.Weights
	}
	return v
}

// checks returns the checks of the service, with Consul's defaults for missing ids and states.
func (a *agentService) checks() (checks []Check, err error) {
	definitions := a.Checks
	if a.Check != nil {
		definitions = append([]agentCheck{*a.Check}, definitions...)
	}
	for i, definition := range definitions {
		c := Check{CheckID: definition.CheckID, Name: definition.Name, Status: definition.Status}
		if c.CheckID == "" {
			if c.CheckID = "service:" + a.id(); len(definitions) > 1 {
				c.CheckID += ":" + strconv.Itoa(i+1)
			}
		}
		if c.Status == "" {
			c.Status = critical
		}
		if definition.TTL != "" {
			if c.ttl, err = time.ParseDuration(definition.TTL); err != nil {
				return nil, err
			}
			c.expires = time.Now().Add(c.ttl)
		}
		checks = append(checks, c)
	}
	return checks, nil
}

// maintenance handles PUT /v1/agent/maintenance and /v1/agent/service/maintenance/ID.
func (s *Server) maintenance(w http.ResponseWriter, r *http.Request, id string) {
	enabled, err := strconv.ParseBool(r.URL.Query().Get("enable"))
	if err != nil {
		http.Error(w, "Missing value for enable", http.StatusBadRequest)
		return
	}
	if !s.SetMaintenance(AgentNode, id, Maintenance{Enabled: enabled, Reason: r.URL.Query().Get("reason")}) {
		replyUnknown(w)
	}
}

// updateCheck handles PUT /v1/agent/check/update/ID.
func (s *Server) updateCheck(w http.ResponseWriter, r *http.Request) {
	var body struct{ Status, Output string }
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.SetStatus(AgentNode, r.PathValue("id"), body.Status, body.Output) {
		replyUnknown(w)
	}
}
