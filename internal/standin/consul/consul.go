// Package consul is a stand-in for a Consul server, made from the published HTTP API
// (developer.hashicorp.com/consul/api-docs): agent registration, maintenance and TTL checks, catalogue and health reads
// with blocking queries, ACL tokens, and faults that are set while it runs. It listens on loopback addresses only and
// keeps everything in memory. Its own tests drive it with the published Go client.
package consul

import (
	"crypto/tls"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"beechcart/internal/standin/loopback"
)

// Node is where services run.
type Node struct {
	ID, Node, Address, Datacenter string
	Meta                          map[string]string
}

// Weights are a service's weights by the state of its checks.
type Weights struct{ Passing, Warning int }

// Service is one instance.
type Service struct {
	ID, Service string
	Tags        []string
	Address     string
	Port        int
	Meta        map[string]string
	Weights     Weights
	CreateIndex uint64
	ModifyIndex uint64
}

// Check is one health check.
type Check struct {
	Node, CheckID, Name, Status, Output string
	ServiceID, ServiceName              string
	CreateIndex, ModifyIndex            uint64

	ttl     time.Duration
	expires time.Time
}

// Instance is one element of a health answer.
type Instance struct {
	Node    Node
	Service Service
	Checks  []Check
}

// Faults are what goes wrong with reads, while they are set.
type Faults struct {
	Delay    time.Duration // each answer comes so much later
	Hang     bool          // no answer comes
	Status   int           // such as 500 or 429, with no list
	NoLeader bool          // answers tell that no leader is known
	Lag      time.Duration // ... and that the leader was last heard of so long ago
	Stale    bool          // reads answer from the state at which Stale was set
	Back     uint64        // indexes are so much lower
	Empty    bool          // lists are empty
	Partial  int           // lists hold only so many; 0: all
	Half     bool          // answers break off in the middle
	Garbage  bool          // answers are no JSON
}

// Server is one stand-in.
type Server struct {
	Addr string // host:port

	mu       sync.Mutex
	changed  chan struct{} // closed and replaced at each change of state or faults
	index    uint64
	byName   map[string]uint64 // the index of the last change of each service
	nodes    map[string]Node
	services map[string]map[string]Service // by node and id
	checks   map[string]map[string]Check   // by node and check id
	tokens   map[string]bool               // nil: none is asked for
	faults   Faults
	stale    map[string]snapshot // by service, while Faults.Stale
	answered func(service string, list []Instance)
	reads    int

	http *http.Server
	stop chan struct{}
	once sync.Once
}

type snapshot struct {
	index uint64
	list  []Instance
}

// AgentNode is the node that the agent's own calls speak of.
const AgentNode = "agent"

// Start begins to serve on an address of 127.0.0.0/8; conf may be nil.
func Start(addr string, conf *tls.Config) (*Server, error) {
	l, err := loopback.Listen(addr)
	if err != nil {
		return nil, err
	}
	s := &Server{
		Addr: l.Addr().String(), changed: make(chan struct{}), index: 10, byName: map[string]uint64{}, nodes: map[string]Node{},
		services: map[string]map[string]Service{}, checks: map[string]map[string]Check{}, stop: make(chan struct{}),
	}
	s.putNode(Node{Node: AgentNode, Address: "127.0.0.1", Datacenter: "dc1"})
	if conf != nil {
		l = tls.NewListener(l, conf)
	}
	s.http = loopback.Serve(l, s.mux())
	go s.expire()
	return s, nil
}

// Close ends the stand-in and every connection. It may be called again.
func (s *Server) Close() {
	s.once.Do(func() {
		close(s.stop)
		_ = s.http.Close()
	})
}

// SetFaults replaces the faults in force. Calls that wait see them at once.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Stale && !s.faults.Stale {
		s.stale = map[string]snapshot{}
		for name := range s.byName {
			s.stale[name] = snapshot{s.byName[name], s.list(name)}
		}
	}
	s.faults = f
	if f.Empty || f.Partial > 0 || f.Back > 0 {
		// A list that is wrong came about by some write.
		s.index++
		for name := range s.byName {
			s.byName[name] = s.index
		}
	}
	s.wake()
}

// SetTokens asks for one of these tokens from now on; nil asks for none.
func (s *Server) SetTokens(tokens ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tokens = nil; tokens != nil {
		s.tokens = map[string]bool{}
		for _, t := range tokens {
			s.tokens[t] = true
		}
	}
	s.wake()
}

// OnAnswer is called with each whole answer of health that has been written, before the next call is read.
func (s *Server) OnAnswer(f func(service string, list []Instance)) {
	s.mu.Lock()
	s.answered = f
	s.mu.Unlock()
}

// Reads tells how many reads of health have come.
func (s *Server) Reads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// wake lets the calls that wait look again; under the lock.
func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// touch counts a write of those services; under the lock.
func (s *Server) touch(names ...string) uint64 {
	s.index++
	for _, n := range names {
		s.byName[n] = s.index
	}
	s.wake()
	return s.index
}

// names are the services of a node; under the lock.
func (s *Server) names(node string) []string {
	var names []string
	for _, v := range s.services[node] {
		names = append(names, v.Service)
	}
	return names
}

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

func (s *Server) putService(node string, v Service) {
	if v.Weights == (Weights{}) {
		v.Weights = Weights{1, 1}
	}
	index := s.touch(v.Service)
	old, ok := s.services[node][v.ID]
	v.CreateIndex, v.ModifyIndex = index, index
	if ok {
		v.CreateIndex = old.CreateIndex
	}
	s.services[node][v.ID] = v
}

func (s *Server) putCheck(node string, c Check) {
	names := []string{c.ServiceName}
	if c.ServiceID == "" {
		names = s.names(node)
	}
	index := s.touch(names...)
	c.Node, c.CreateIndex, c.ModifyIndex = node, index, index
	if old, ok := s.checks[node][c.CheckID]; ok {
		c.CreateIndex = old.CreateIndex
	}
	if c.Name == "" {
		c.Name = c.CheckID
	}
	s.checks[node][c.CheckID] = c
}

// Deregister removes an instance and its checks; false when there is none.
func (s *Server) Deregister(node, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.services[node][id]
	if !ok {
		return false
	}
	delete(s.services[node], id)
	maps.DeleteFunc(s.checks[node], func(_ string, c Check) bool { return c.ServiceID == id })
	s.touch(v.Service)
	return true
}

// SetStatus sets the state of a check; false when there is none.
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
		s.checks[node][check] = c // a sign of life is no write
		return true
	}
	c.Status, c.Output = status, output
	s.putCheck(node, c)
	return true
}

// Maintain sets or ends the maintenance of an instance, or of a node where id is empty; false when there is none.
func (s *Server) Maintain(node, id string, on bool, reason string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.services[node][id]
	_, isNode := s.nodes[node]
	if id == "" && !isNode || id != "" && !ok {
		return false
	}
	check := Check{CheckID: "_node_maintenance", Name: "Node Maintenance Mode", Status: "critical", Output: reason}
	if id != "" {
		check = Check{CheckID: "_service_maintenance:" + id, Name: "Service Maintenance Mode", Status: "critical",
			Output: reason, ServiceID: id, ServiceName: v.Service}
	}
	if on {
		s.putCheck(node, check)
	} else if _, ok := s.checks[node][check.CheckID]; ok {
		delete(s.checks[node], check.CheckID)
		if id != "" {
			s.touch(v.Service)
		} else {
			s.touch(s.names(node)...)
		}
	}
	return true
}

// expire fails TTL checks that got no sign of life.
func (s *Server) expire() {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-s.stop:
			return
		case now := <-tick.C:
			s.mu.Lock()
			for node, checks := range s.checks {
				for _, c := range checks {
					if c.ttl > 0 && c.Status != "critical" && now.After(c.expires) {
						c.Status, c.Output = "critical", "TTL expired"
						s.putCheck(node, c)
					}
				}
			}
			s.mu.Unlock()
		}
	}
}

// list makes the instances of a service, by node and id; under the lock.
func (s *Server) list(name string) []Instance {
	list := []Instance{}
	for _, node := range slices.Sorted(maps.Keys(s.services)) {
		checks := map[string][]Check{} // by service id; "" are the node's own
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

func (s *Server) mux() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/health/service/{name}", s.health)
	m.HandleFunc("GET /v1/health/state/{state}", s.state)
	m.HandleFunc("GET /v1/catalog/service/{name}", s.catalog)
	m.HandleFunc("GET /v1/status/leader", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintf(w, "%q", s.Addr) })
	m.HandleFunc("PUT /v1/catalog/register", s.catalogRegister)
	m.HandleFunc("PUT /v1/catalog/deregister", s.catalogDeregister)
	m.HandleFunc("PUT /v1/agent/service/register", s.agentRegister)
	m.HandleFunc("PUT /v1/agent/service/deregister/{id}", func(w http.ResponseWriter, r *http.Request) {
		known(w, s.Deregister(AgentNode, r.PathValue("id")))
	})
	m.HandleFunc("PUT /v1/agent/service/maintenance/{id}", func(w http.ResponseWriter, r *http.Request) {
		s.maintenance(w, r, r.PathValue("id"))
	})
	m.HandleFunc("PUT /v1/agent/maintenance", func(w http.ResponseWriter, r *http.Request) { s.maintenance(w, r, "") })
	for verb, status := range map[string]string{"pass": "passing", "warn": "warning", "fail": "critical"} {
		m.HandleFunc("PUT /v1/agent/check/"+verb+"/{id}", func(w http.ResponseWriter, r *http.Request) {
			known(w, s.SetStatus(AgentNode, r.PathValue("id"), status, r.URL.Query().Get("note")))
		})
	}
	m.HandleFunc("PUT /v1/agent/check/update/{id}", s.update)
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

// allowed checks the token; under the lock.
func (s *Server) allowed(r *http.Request) bool {
	token := r.Header.Get("X-Consul-Token")
	if token == "" {
		token = strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	}
	return s.tokens == nil || s.tokens[token]
}

func known(w http.ResponseWriter, ok bool) {
	if !ok {
		http.Error(w, "Unknown service or check", http.StatusNotFound)
	}
}

func (s *Server) maintenance(w http.ResponseWriter, r *http.Request, id string) {
	on, err := strconv.ParseBool(r.URL.Query().Get("enable"))
	if err != nil {
		http.Error(w, "Missing value for enable", http.StatusBadRequest)
		return
	}
	known(w, s.Maintain(AgentNode, id, on, r.URL.Query().Get("reason")))
}

func (s *Server) update(w http.ResponseWriter, r *http.Request) {
	var b struct{ Status, Output string }
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	known(w, s.SetStatus(AgentNode, r.PathValue("id"), b.Status, b.Output))
}

type registration struct {
	ID, Name, Address string
	Port              int
	Tags              []string
	Meta              map[string]string
	Weights           *Weights
	Check             *checkDefinition
	Checks            []checkDefinition
}

type checkDefinition struct{ CheckID, Name, TTL, Status string }

func (s *Server) agentRegister(w http.ResponseWriter, r *http.Request) {
	var b registration
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if b.ID == "" {
		b.ID = b.Name
	}
	v := Service{ID: b.ID, Service: b.Name, Tags: b.Tags, Address: b.Address, Port: b.Port, Meta: b.Meta}
	if b.Weights != nil {
		v.Weights = *b.Weights
	}
	if b.Check != nil {
		b.Checks = append([]checkDefinition{*b.Check}, b.Checks...)
	}
	var checks []Check
	for i, d := range b.Checks {
		c := Check{CheckID: d.CheckID, Name: d.Name, Status: d.Status}
		if c.CheckID == "" {
			if c.CheckID = "service:" + b.ID; len(b.Checks) > 1 {
				c.CheckID += ":" + strconv.Itoa(i+1)
			}
		}
		if c.Status == "" {
			c.Status = "critical"
		}
		if d.TTL != "" {
			ttl, err := time.ParseDuration(d.TTL)
			if err != nil {
				http.Error(w, "Invalid TTL", http.StatusBadRequest)
				return
			}
			c.ttl, c.expires = ttl, time.Now().Add(ttl)
		}
		checks = append(checks, c)
	}
	s.mu.Lock()
	node := s.nodes[AgentNode]
	s.mu.Unlock()
	s.Register(node, v, checks...)
}

func (s *Server) catalogRegister(w http.ResponseWriter, r *http.Request) {
	var b struct {
		ID, Node, Address, Datacenter string
		NodeMeta                      map[string]string
		Service                       *struct {
			ID, Service, Address string
			Port                 int
			Tags                 []string
			Meta                 map[string]string
			Weights              Weights
		}
		Check  *Check
		Checks []Check
	}
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil || b.Node == "" || b.Service == nil {
		http.Error(w, "Must provide node and service", http.StatusBadRequest)
		return
	}
	if b.Check != nil {
		b.Checks = append(b.Checks, *b.Check)
	}
	if b.Service.ID == "" {
		b.Service.ID = b.Service.Service
	}
	s.Register(Node{b.ID, b.Node, b.Address, b.Datacenter, b.NodeMeta}, Service{ID: b.Service.ID, Service: b.Service.Service,
		Address: b.Service.Address, Port: b.Service.Port, Tags: b.Service.Tags, Meta: b.Service.Meta, Weights: b.Service.Weights}, b.Checks...)
	fmt.Fprint(w, "true")
}

func (s *Server) catalogDeregister(w http.ResponseWriter, r *http.Request) {
	var b struct{ Node, ServiceID string }
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Deregister(b.Node, b.ServiceID)
	fmt.Fprint(w, "true")
}
