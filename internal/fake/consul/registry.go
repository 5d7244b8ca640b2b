package consul

import (
	"maps"
	"slices"
	"time"
)

// recordWrite raises the index for a write to services, and returns the new index. The caller must hold mu.
func (s *Server) recordWrite(names ...string) uint64 {
	s.index++
	for _, n := range names {
		s.serviceIndex[n] = s.index
	}
	s.notifyWaiters()
	return s.index
}

// serviceNames returns the names of the services of a node. The caller must hold mu.
func (s *Server) serviceNames(node string) []string {
	var names []string
	for _, v := range s.services[node] {
		names = append(names, v.Service)
	}
	return names
}

// putNode adds or replaces a node. The caller must hold mu, unless the server is not shared yet.
func (s *Server) putNode(n Node) {
	s.nodes[n.Node] = n
	if s.services[n.Node] == nil {
		s.services[n.Node], s.checks[n.Node] = map[string]Service{}, map[string]Check{}
	}
}

// Register adds or replaces an instance with its checks, as PUT /v1/catalog/register does.
func (s *Server) Register(n Node, v Service, checks ...Check) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n.Datacenter == "" {
		n.Datacenter = "dc1"
	}
	s.putNode(n)
	s.putService(n.Node, v)
	for _, c := range checks {
		c.ServiceID, c.ServiceName = v.ID, v.Service
		s.putCheck(n.Node, c)
	}
}

// putService adds or replaces an instance on a known node. The caller must hold mu.
func (s *Server) putService(node string, v Service) {
	if v.Weights == (Weights{}) {
		v.Weights = Weights{1, 1}
	}
	index := s.recordWrite(v.Service)
	old, ok := s.services[node][v.ID]
	v.CreateIndex, v.ModifyIndex = index, index
	if ok {
		v.CreateIndex = old.CreateIndex
	}
	s.services[node][v.ID] = v
}

// putCheck adds or replaces a check on a known node. The caller must hold mu.
func (s *Server) putCheck(node string, c Check) {
	names := []string{c.ServiceName}
	if c.ServiceID == "" {
		names = s.serviceNames(node)
	}
	index := s.recordWrite(names...)
	c.Node, c.CreateIndex, c.ModifyIndex = node, index, index
	if old, ok := s.checks[node][c.CheckID]; ok {
		c.CreateIndex = old.CreateIndex
	}
	if c.Name == "" {
		c.Name = c.CheckID
	}
	s.checks[node][c.CheckID] = c
}

// Deregister removes an instance and its checks. It returns false if the instance is unknown.
func (s *Server) Deregister(node, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.services[node][id]
	if !ok {
		return false
	}
	delete(s.services[node], id)
	maps.DeleteFunc(s.checks[node], func(_ string, c Check) bool { return c.ServiceID == id })
	s.recordWrite(v.Service)
	return true
}

// SetStatus sets the state of a check. It returns false if the check is unknown.
func (s *Server) SetStatus(node, check, status, output string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.checks[node][check]
	if !ok {
		return false
	}
	if c.ttl > 0 {
		c.expires = time.Now().Add(c.ttl)
	}
	if c.Status == status && c.Output == output {
		s.checks[node][check] = c // an update without a change does not count as a write
		return true
	}
	c.Status, c.Output = status, output
	s.putCheck(node, c)
	return true
}

// Maintenance is the maintenance state of an instance or a node.
type Maintenance struct {
	Enabled bool
	Reason  string
}

// SetMaintenance sets the maintenance state of an instance, or of a node if id is empty. It returns false if the
// instance or node is unknown.
func (s *Server) SetMaintenance(node, id string, m Maintenance) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.services[node][id]
	_, isNode := s.nodes[node]
	if id == "" && !isNode || id != "" && !ok {
		return false
	}
	check := maintenanceCheck(id, v.Service, m.Reason)
	if m.Enabled {
		s.putCheck(node, check)
	} else if _, ok := s.checks[node][check.CheckID]; ok {
		delete(s.checks[node], check.CheckID)
		if id != "" {
			s.recordWrite(v.Service)
		} else {
			s.recordWrite(s.serviceNames(node)...)
		}
	}
	return true
}

// maintenanceCheck returns the check that marks an instance, or its node if id is empty, as under maintenance.
func maintenanceCheck(id, service, reason string) Check {
	if id == "" {
		return Check{CheckID: "_node_maintenance", Name: "Node Maintenance Mode", Status: critical, Output: reason}
	}
	return Check{CheckID: "_service_maintenance:" + id, Name: "Service Maintenance Mode", Status: critical,
		Output: reason, ServiceID: id, ServiceName: service}
}

// expireChecks makes TTL checks critical that were not updated in time, until the server is closed.
func (s *Server) expireChecks() {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-s.stop:
			return
		case now := <-tick.C:
			s.failExpired(now)
		}
	}
}

// failExpired makes the TTL checks critical that have expired at the time now.
func (s *Server) failExpired(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for node, checks := range s.checks {
		for _, c := range checks {
			if c.ttl > 0 && c.Status != critical && now.After(c.expires) {
				c.Status, c.Output = critical, "TTL expired"
				s.putCheck(node, c)
			}
		}
	}
}

// instances returns the instances of a service, sorted by node and id. The caller must hold mu.
func (s *Server) instances(name string) []Instance {
	list := []Instance{}
	for _, node := range slices.Sorted(maps.Keys(s.services)) {
		checks := map[string][]Check{} // by service id; "" holds the checks of the node
		for _, check := range slices.Sorted(maps.Keys(s.checks[node])) {
			c := s.checks[node][check]
			checks[c.ServiceID] = append(checks[c.ServiceID], c)
		}
		for _, id := range slices.Sorted(maps.Keys(s.services[node])) {
			if v := s.services[node][id]; v.Service == name {
				list = append(list, Instance{s.nodes[node], v, slices.Concat([]Check{}, checks[""], checks[id])})
			}
		}
	}
	return list
}
